import {expect} from 'chai';
import {Log} from '../../src/node/log.js';
import {AnswerNotices} from '../../src/router/answerNotices.js';
import {LeavingServers} from '../../src/router/leavingServers.js';
import type {BackendAnswer} from '../../src/router/messageCodec.js';
import {ServerDirectory} from '../../src/router/serverDirectory.js';
import {ServerLimits} from '../../src/router/serverLimits.js';
import {computeLimitKey} from '../../src/router/serverSelector.js';
import {SharedNotices} from '../../src/router/sharedNotices.js';
import {sampleServer} from './routerFixture.js';

const answer: BackendAnswer = {
  hasStamp: true,
  isNotRun: false,
  isOtherProcess: false,
  isLeaving: false,
};

describe('what servers say of themselves in answers', () => {
  let limits: ServerLimits;
  let notices: AnswerNotices;

  beforeEach(() => {
    const ignore = () => undefined;
    limits = new ServerLimits({announce: ignore, getPosition: ignore});
    const shared = new SharedNotices(ignore);
    const leaving = new LeavingServers(new ServerDirectory(), shared);
    notices = new AnswerNotices({leaving, limits, log: new Log({vm: 'vm-1'})});
  });

  function record(change: Partial<BackendAnswer>): number | undefined {
    notices.record(sampleServer, {...answer, ...change}, performance.now());
    return limits.getPerSecond(computeLimitKey(sampleServer));
  }

  it('should begin, change and end the limit of the server', () => {
    expect(record({limitPerSecond: 2})).to.equal(2);
    expect(record({limitPerSecond: 1.5})).to.equal(1.5);
    expect(record({})).to.equal(undefined);
  });

  // Guards against a burst of the whole fleet after a rejection that comes from
  // another process, or that lacks what the server says in its answers.
  it('should not take a rejection for the end of a limit', () => {
    record({limitPerSecond: 2});
    expect(record({isNotRun: true})).to.equal(2);
    const other = {isNotRun: true, isOtherProcess: true};
    expect(record(other)).to.equal(2);
    expect(record({...other, limitPerSecond: 9})).to.equal(2);
    expect(record({hasStamp: false})).to.equal(2);
  });
});
