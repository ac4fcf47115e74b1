import {expect} from 'chai';
import {computeExpectedText} from '../../src/standins/answerText.js';
import {ModelEngine} from '../../src/standins/modelEngine.js';
import {messages, readStream, waitUntil} from './streamClient.js';

describe('model engine stand-in', () => {
  let engine: ModelEngine;
  const fast = {stepMs: 1, prefillMs: 1};

  afterEach(() => engine.stop());

  // Guards against answers that can't be compared byte for byte.
  it('should stream the expected text and end it with [DONE]', async () => {
    engine = await ModelEngine.start(fast);
    const result = await readStream(engine.url);
    const request = {model: 'm', messages};
    expect(result.text).to.equal(computeExpectedText(request, engine.options));
    expect(result.chunks.every(chunk => chunk.id === 'r1')).to.equal(true);
    expect(result.isDone).to.equal(true);
  });

  // Guards against a resumed answer that repeats or skips a token.
  it('should continue with the token that is asked for', async () => {
    engine = await ModelEngine.start(fast);
    const whole = await readStream(engine.url, {body: {standin_tokens: 9}});
    const rest = await readStream(engine.url, {
      body: {standin_tokens: 9, resume_from: 4},
    });
    expect(rest.chunks).to.have.length(5);
    expect(whole.text.endsWith(rest.text)).to.equal(true);
  });

  // Guards against a client that waits for ever after it got every token.
  it('should still send the finish reason when no token is left', async () => {
    engine = await ModelEngine.start(fast);
    const body = {standin_tokens: 9, max_tokens: 3, resume_from: 3};
    const rest = await readStream(engine.url, {body});
    expect(rest.text).to.equal('');
    expect(rest.chunks[0].choices[0].finish_reason).to.equal('length');
    expect(rest.isDone).to.equal(true);
  });

  // Guards against work that goes on for clients that have left.
  it('should cancel when the connection closes', async () => {
    engine = await ModelEngine.start(fast);
    const controller = new AbortController();
    const reading = readStream(engine.url, {
      body: {standin_tokens: 100_000},
      signal: controller.signal,
      observe: () => controller.abort(),
    }).catch(() => undefined);
    await reading;
    await waitUntil(() => engine.getCounters().tokensWasted > 0);
    const {tokensGenerated, tokensWasted} = engine.getCounters();
    expect(tokensWasted).to.equal(tokensGenerated);
  });
});
