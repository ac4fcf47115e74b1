import {expect} from 'chai';
import {
  joinServerRows,
  splitServerRows,
  type ServerReport,
} from '../../src/router/peerReport.js';
import {
  addBacklogs,
  addWork,
  emptyBacklog,
  isSameBacklog,
  sumBacklog,
} from '../../src/router/prefillBacklog.js';

function buildReport(key: number, backlog: number[]): ServerReport {
  const outcomes = {failures: 0, answers: 2, slowness: 1};
  return {key, requests: 3, tightStreams: 0.5, backlog, ...outcomes};
}

describe('prefill backlog by urgency', () => {
  it('should sum up to a rank', () => {
    expect(sumBacklog([5, 0, 70, 100], 2)).to.equal(75);
    expect(sumBacklog([5, 0, 70, 100])).to.equal(175);
    expect(sumBacklog(emptyBacklog, 9)).to.equal(0);
  });

  it('should be empty again after the last prompt', () => {
    const one = addWork(addWork(emptyBacklog, 2, 900), 7, 40);
    const none = addWork(addWork(one, 7, -40), 2, -900);
    expect(isSameBacklog(none, emptyBacklog)).to.equal(true);
    expect(isSameBacklog(addBacklogs(one, one, -1), none)).to.equal(true);
    expect(isSameBacklog(one, none)).to.equal(false);
  });

  it('should be the same after a report between routers', () => {
    const reports = [
      buildReport(1, [0, 0, 900, 0, 0, 0, 0, 40, 0, 0]),
      buildReport(2, []),
      buildReport(3, [7, 0, 0, 0, 0, 0, 0, 0, 0, 0]),
    ];
    expect(splitServerRows(joinServerRows(reports))).to.deep.equal(reports);
  });

  // Guards against a datagram that makes a router allocate or read beyond it.
  it('should drop rows that are cut off or state an impossible length', () => {
    const rows = joinServerRows([buildReport(1, [10]), buildReport(2, [20])]);
    expect(splitServerRows(rows.slice(0, -1))).to.have.length(1);
    for (const count of [1e9, NaN, Infinity]) {
      const cut = [...rows];
      cut[6] = count;
      expect(splitServerRows(cut)).to.deep.equal([]);
    }
    const [report] = splitServerRows([1, 0, 0, 0, 0, 0, 1, 99, 5]);
    expect(sumBacklog(report.backlog)).to.equal(0);
  });
});
