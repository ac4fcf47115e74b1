/** Binary of the platform stand-in. */
import fs from 'node:fs';
import {Platform} from '../standins/platform.js';
import {runStandinCommand} from '../standins/standinCommand.js';

runStandinCommand(
  {
    name: 'standinPlatform',
    description: 'Configuration service, VM list and weight store',
    options: {
      host: 'IP address to listen on',
      port: 'Port to listen on; 0 chooses a free one',
      documentFile: 'JSON file with the initial configuration document',
      vmsFile: 'JSON file with the initial VM list',
      readsPerSecond: 'Allowed reads of the configuration service per second',
      weightReadsPerSecond: 'Allowed reads of the weight store per second',
    },
    start: ({
      documentFile,
      vmsFile,
      ...options
    }: {
      documentFile?: string;
      vmsFile?: string;
    }) =>
      Platform.start({
        ...options,
        ...(documentFile ? {document: readJsonFile(documentFile)} : {}),
        ...(vmsFile ? {vms: readJsonFile(vmsFile)} : {}),
      }),
  },
  process.argv,
);

function readJsonFile(file: string) {
  return JSON.parse(fs.readFileSync(file, 'utf8'));
}
