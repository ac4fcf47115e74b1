/** Binary of the plain service stand-in. */
import {PlainService} from '../standins/plainService.js';
import {runStandinCommand} from '../standins/standinCommand.js';

runStandinCommand(
  {
    name: 'standinService',
    description: 'Plain service that counts the requests it runs',
    options: {
      host: 'IP address to listen on',
      port: 'Port to listen on; 0 chooses a free one',
      slots: 'Requests that run at the same time',
      serviceMs: 'Mean service time of a request in milliseconds',
      serviceSpread:
        'Largest deviation from the mean service time, as a share of it',
      loadLagMs: 'Age of the load reports in milliseconds',
      seed: 'Seed of the random choices',
    },
    start: options => PlainService.start(options),
  },
  process.argv,
);
