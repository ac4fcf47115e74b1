/**
 * Checks that header names of the users' platform occur only in the adapter and
 * its tests.
 */
import fs from 'node:fs';
import path from 'node:path';
import {HeaderName} from '../platform/headerCodec.js';

/** Header names that HTTP or the router's own API uses as well. */
const allowedNames = new Set<string>([
  HeaderName.Authorization,
  HeaderName.DeadlineMs,
  HeaderName.Host,
  HeaderName.LastEventId,
  HeaderName.Model,
  HeaderName.RetryAfter,
  HeaderName.Tenant,
]);
const checkedFolders = ['src', 'tools', 'tests'];
const adapterTestFolder = path.join('tests', 'platform');

/** Lists the `.ts` files that must not contain platform header names. */
function listCheckedFiles(): string[] {
  return checkedFolders
    .flatMap(folder =>
      fs
        .readdirSync(folder, {recursive: true, encoding: 'utf8'})
        .map(name => path.join(folder, name)),
    )
    .filter(
      file => file.endsWith('.ts') && !file.startsWith(adapterTestFolder),
    );
}

const names = Object.values(HeaderName).filter(name => !allowedNames.has(name));
const errors = listCheckedFiles().flatMap(file => {
  const text = fs.readFileSync(file, 'utf8').toLowerCase();
  return names
    .filter(name => text.includes(name))
    .map(name => `${file} contains the platform's header name "${name}"`);
});
for (const error of errors) console.error(error);
process.exitCode = errors.length > 0 ? 1 : 0;
