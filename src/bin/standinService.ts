/** Binary of the plain service stand-in. */
import {PlainService} from '../standins/plainService.js';
import {runStandinCommand} from '../standins/standinCommand.js';

runStandinCommand(
  {
    name: 'standinService',
    description: 'Plain service that counts what it runs',
    options: {
      host: 'IP address to listen on',
      port: 'Port to listen on; 0 chooses a free one',
      slots: 'Requests that are worked on at the same time',
      serviceMs: 'Mean milliseconds of a request',
      serviceSpread: 'Largest deviation from the mean, as a share of it',
      loadLagMs: 'Age of the load reports in milliseconds',
      seed: 'Seed of the random choices',
    },
    start: options => PlainService.start(options),
  },
  process.argv,
);
