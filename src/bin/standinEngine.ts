/** Binary of the model engine stand-in. */
import {ModelEngine} from '../standins/modelEngine.js';
import {runStandinCommand} from '../standins/standinCommand.js';

runStandinCommand(
  {
    name: 'standinEngine',
    description: 'Model engine that generates hashed words',
    options: {
      host: 'IP address to listen on',
      port: 'Port to listen on; 0 chooses a free one',
      slots: 'Requests that get a token in the same step (batch size)',
      stepMs: 'Milliseconds between two tokens of a request',
      prefillMs: 'Fixed cost of a prefill in milliseconds',
      meanTokens: 'Mean number of tokens of an answer',
      longJobShare: 'Share of requests with 20 times more tokens',
      loadLagMs: 'Age of the load reports in milliseconds',
      seed: 'Seed of the random choices',
      fencing: 'Treatment of old fencing numbers: honoured or ignored',
      orderKey: 'Key that orders must carry with --verifiesSender',
      verifiesSender: 'Refuse orders without the order key',
      loadMs: 'Milliseconds to load a model',
      weightStoreUrl: 'Base URL of the weight store',
      restartMs: 'Milliseconds for which connections are refused after a crash',
      models: 'Comma-separated models that are loaded at the start',
    },
    start: ({models, ...options}: {models?: unknown}) =>
      ModelEngine.start({
        ...options,
        ...(models === undefined ? {} : {models: splitNames(models)}),
      }),
  },
  process.argv,
);

function splitNames(models: unknown): string[] {
  if (Array.isArray(models)) return models;
  return String(models)
    .split(',')
    .filter(name => name !== '');
}
