/** Version that the binaries report. */
import fs from 'node:fs';

const packageFile = new URL('../../../package.json', import.meta.url);

/** Version of the package that the binary belongs to. */
export const version: string = (
  JSON.parse(fs.readFileSync(packageFile, 'utf8')) as {version: string}
).version;
