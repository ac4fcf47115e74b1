import fs from 'node:fs';
import {expect} from 'chai';
import {decodeDeployment, decodeServer} from '../../platform/storeDocuments.js';
import {routerSettingsSchema} from '../../src/router/routerSettings.js';

function buildConfig(service: object): string {
  return JSON.stringify({
    version: 1,
    routes: [],
    services: [{name: 's', ...service}],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

/** Fills in a template of the platform, as far as the settings use it. */
function formatSettings(template: string, values: Record<string, unknown>) {
  return template
    .replace(
      /{{#([\w.]+)}}(.*?){{\/\1}}/g,
      (_, name: string, section: string) =>
        values[name] === undefined ? '' : section,
    )
    .replace(/{{([\w.|]+)}}/g, (_, name: string) => {
      const value = values[name.replace('|json', '')];
      return name.endsWith('|json') ? JSON.stringify(value) : String(value);
    });
}

const values = {
  nodeName: 'vm-1',
  zone: 'a',
  ip: '10.0.0.1',
  'limits.linkMbps': 490,
  'limits.cpuRatio': 0.459,
  'limits.speedFactor': 1,
  'listen.frontend': '10.0.0.1:80',
  'listen.ready': '10.0.0.1:81',
  'listen.directoryAddr': '10.0.0.1:82',
  'listen.controlPlane': '10.0.0.1:83',
  'internalPorts.0': 84,
  seedNodes: ['10.0.0.2:83'],
  'platform.address': '10.0.1.1:80',
  'bounds.graceS': 4,
  'bounds.retryBudgetRatio': 0.2,
  'bounds.retrySlack': 5,
  'bounds.budgetWindowS': 10,
  bootstrap: false,
  'bounds.drainMs': 2_000,
  'bounds.contactMs': 3_000,
  'bounds.ttl_max_s': 5,
};

describe('cold servers in the documents of the platform', () => {
  // Guards against a limit on servers whose service has none.
  it('should give a cold start only with a duration and a rate', () => {
    const decode = (service: object) =>
      decodeDeployment(buildConfig(service))?.services[0].coldStart;
    expect(decode({coldStartS: 3, coldPerS: 10})).to.deep.equal({
      durationMs: 3_000,
      requestsPerSecond: 10,
    });
    expect(decode({coldStartS: 3, coldPerS: 0})).to.equal(undefined);
    expect(decode({coldStartS: 0, coldPerS: 10})).to.equal(undefined);
    expect(decode({})).to.equal(undefined);
  });

  it('should give the time for which a server is still cold', () => {
    const entry = {
      service: 's',
      address: '10.0.0.3:80',
      zone: 'a',
      slots: 4,
      state: 'ready',
      coldLeftMs: 1_200,
      born: 7,
    };
    const server = decodeServer('server-1', JSON.stringify(entry));
    expect(server).to.include({warmUpMs: 1_200, startedAt: 7});
  });

  // Guards against a settings file that no router can read at the deployments
  // whose bounds name no cold servers.
  it('should be in the settings only where operators set bounds', () => {
    const template = fs.readFileSync('deploy/settings.json.template', 'utf8');
    const read = (more: object) =>
      routerSettingsSchema.parse(
        JSON.parse(formatSettings(template, {...values, ...more})),
      );
    expect(read({}).coldServers).to.equal(undefined);
    const bounds = {'bounds.coldOverrun': 1.5, 'bounds.coldSlack': 5};
    expect(read(bounds).coldServers).to.deep.equal({overrun: 1.5, slack: 5});
  });
});
