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
      slots: 'Requests that get a token in the same step',
      stepMs: 'Milliseconds between two tokens of a request',
      prefillMs: 'Fixed milliseconds of a prefill',
      meanTokens: 'Mean number of tokens of an answer',
      longJobShare: 'Share of requests with 20 times more tokens',
      loadLagMs: 'Age of the load reports in milliseconds',
      seed: 'Seed of the random choices',
      fencing: 'What an order with an old number gets: honoured or ignored',
      orderKey: 'Key that orders need with --verifiesSender',
      verifiesSender: 'Check who sends an order',
      loadMs: 'Milliseconds to load a model',
      weightStoreUrl: 'Base URL of the weight store',
      restartMs: 'Milliseconds without connections after a crash',
      models: 'Models that are loaded at the start, with commas between them',
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
