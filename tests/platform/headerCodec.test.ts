import {expect} from 'chai';
import {HeaderCodec} from '../../platform/headerCodec.js';
import {computePrefillWork} from '../../src/router/engineModel.js';

const codec = new HeaderCodec();

const streamRequest = [
  ...['Host', 'ficu95.example', 'Attempt-Id', '9c41'],
  ...['Last-Event-Id', '12', 'Model', 'm', 'Token-Count', '1460,80'],
  ...['Prompt-Prefix', '5c1e07a2:800,91bd3f06:410,e4402b7d:250'],
  ...['Deadline-Ms', '4003', 'Authorization', 'Token xd9d'],
];

describe('header codec of the platform', () => {
  it('should decode a request for a stream', () => {
    expect(codec.decodeRequest(streamRequest)).to.deep.equal({
      attemptId: '9c41',
      deadlineMs: 4_003,
      apiKey: 'xd9d',
      promptParts: [
        {id: '5c1e07a2', tokens: 800},
        {id: '91bd3f06', tokens: 410},
        {id: 'e4402b7d', tokens: 250},
      ],
      promptTokens: 1_460,
      maxOutputTokens: 80,
      lastEventId: 12,
    });
  });

  it('should treat malformed values as missing', () => {
    const request = codec.decodeRequest([
      ...['Deadline-Ms', 'soon', 'Token-Count', 'x', 'Prompt-Prefix', ':,a:b'],
      ...['Authorization', 'Bearer abc'],
    ]);
    expect(request.deadlineMs).to.equal(undefined);
    expect(request.apiKey).to.equal(undefined);
    expect(request.promptParts).to.deep.equal([]);
  });

  // Guards against a load that is infinite: the other routers dropped all reports
  // with it as malformed, those of a relay too, while such a request was in flight.
  it('should limit the tokens of a prompt', () => {
    const {promptTokens, maxOutputTokens, promptParts} = codec.decodeRequest([
      ...['Token-Count', '1e200,1e200', 'Prompt-Prefix', '5c:1e200,6d:1e200'],
    ]);
    const counts = [promptTokens, maxOutputTokens];
    for (const tokens of [...counts, ...promptParts.map(part => part.tokens)]) {
      expect(computePrefillWork(tokens, tokens)).to.be.below(Infinity);
    }
  });

  it('should show a backend server the customer and never the key', () => {
    const headers = codec.encodeRequest(streamRequest, {
      serverId: 'i-1',
      deadlineMs: 3_999.7,
      customer: 'huka270',
    });
    expect(headers).not.to.include('Authorization');
    expect(headers.join('\n')).to.contain('Tenant\nhuka270');
    expect(headers.join('\n')).to.contain('Deadline-Ms\n3999');
    expect(headers.join('\n')).to.contain('Expect-Instance\ni-1');
  });

  // Only the router may set these headers; values from a caller must not pass.
  it('should drop forged headers and those of the connection', () => {
    const headers = codec.encodeRequest(
      [
        ...['Attempt-Id', 'a', 'Tenant', 'other', 'Hold', '1', 'Pin-Ms', '9'],
        ...['Kv-From', 'x', 'Kv-Backup', 'x', 'Kv-Fetch', 'x'],
        ...['Request-Urgency', '0', 'Expect-Instance', 'i-9', 'TE', 'trailers'],
        ...['Connection', 'close, X-Hop, Attempt-Id', 'X-Hop', '1'],
        ...['Transfer-Encoding', 'chunked', 'X-Kept', 'yes'],
      ],
      {serverId: 'i-1', deadlineMs: 100},
    );
    expect(headers).to.deep.equal([
      ...['Attempt-Id', 'a', 'X-Kept', 'yes'],
      ...['Deadline-Ms', '100', 'Expect-Instance', 'i-1'],
    ]);
  });

  it('should replace the last event only when a stream is resumed', () => {
    const target = {serverId: 'i-1', deadlineMs: 100};
    const first = codec.encodeRequest(streamRequest, target);
    expect(first.join('\n')).to.contain('Last-Event-Id\n12');
    const resumed = {...target, lastEventId: 15};
    const next = codec.encodeRequest(streamRequest, resumed).join('\n');
    expect(next).to.contain('Last-Event-Id\n15');
    expect(next).not.to.contain('Last-Event-Id\n12');
  });

  it('should decode the load of a backend server', () => {
    const decode = (load: string) =>
      codec.decodeAnswer(200, ['Runner-Load', load, 'Runner-Stamp', 's']).load;
    expect(decode('3,1,8,250')).to.deep.equal({
      running: 3,
      waiting: 1,
      slots: 8,
      slowness: 2.5,
    });
    expect(decode('3,1,8')?.slowness).to.equal(1);
    expect(decode('3,x,8')).to.equal(undefined);
  });

  it('should recognise answers that prove that a request has not run', () => {
    const isNotRun = (status: number, headers: string[]) =>
      codec.decodeAnswer(status, headers).isNotRun;
    expect(isNotRun(421, [])).to.equal(true);
    expect(isNotRun(503, ['Not-Executed', '1'])).to.equal(true);
    expect(isNotRun(503, [])).to.equal(false);
  });

  it('should recognise a server that leaves or sends a retry delay', () => {
    const leaving = codec.decodeAnswer(200, ['Server-Leaving', '1']);
    expect(leaving.isLeaving).to.equal(true);
    expect(codec.decodeAnswer(200, []).isLeaving).to.equal(false);
    const decode = (status: number, value: string) =>
      codec.decodeAnswer(status, ['Retry-After', value]).retryAfterMs;
    expect(decode(503, '1.5')).to.equal(1_500);
    expect(decode(503, 'soon')).to.equal(undefined);
    expect(decode(200, '1.5')).to.equal(undefined);
  });

  it('should read the limit that a server states', () => {
    const decode = (value: string) =>
      codec.decodeAnswer(200, ['Server-Limit', value]).limitPerSecond;
    expect(decode('2.3')).to.equal(2.3);
    expect(decode('0')).to.equal(0);
    expect(decode('many')).to.equal(undefined);
    expect(codec.decodeAnswer(200, []).limitPerSecond).to.equal(undefined);
  });

  it('should encode the retry delay in seconds with fractions', () => {
    expect(codec.encodeRefusal('a', 350)).to.deep.equal([
      ...['Attempt-Id', 'a', 'Retry-After', '0.350'],
    ]);
  });
});
