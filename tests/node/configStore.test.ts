import {expect} from 'chai';
import {computeConfigDigest} from '../../src/protocol/configDigest.js';
import {ApplyResult, ConfigStore} from '../../src/node/configStore.js';
import {Log} from '../../src/node/log.js';

describe('configuration store', () => {
  // Guards against a stale read that takes a process back to an old document.
  it('should ignore a document with a lower number', () => {
    const store = new ConfigStore(new Log({}));
    const document = {a: 1};
    const head = {number: 7, digest: computeConfigDigest(document)};
    store.applyDocument({head, document});
    const stale = {a: 0};
    const result = store.applyDocument({
      head: {number: 6, digest: computeConfigDigest(stale)},
      document: stale,
    });
    expect(result).to.equal(ApplyResult.Stale);
    expect(store.getHead().number).to.equal(7);
  });
});
