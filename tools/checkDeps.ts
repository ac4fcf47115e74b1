/**
 * Checks the imports of each source folder against its DEPS.list file. Each
 * line of a DEPS.list names a folder, relative to the repository root, that the
 * files in the folder of the DEPS.list may import.
 */
import fs from 'node:fs';
import path from 'node:path';

const importPattern = /^(?:import|export)[^'"]*from\s+'(\.{1,2}\/[^']+)'/gm;

/** Lists the `.ts` files in a folder and its subfolders. */
function listSourceFiles(folder: string): string[] {
  return fs
    .readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts'))
    .map(name => path.join(folder, name));
}

/** Reads the folders that the files of `folder` may import. */
function readAllowedFolders(folder: string): string[] {
  return fs
    .readFileSync(path.join(folder, 'DEPS.list'), 'utf8')
    .split('\n')
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'));
}

/** Returns one message for each import that the DEPS.list doesn't allow. */
function checkFolder(folder: string): string[] {
  const allowed = [folder, ...readAllowedFolders(folder)];
  const errors: string[] = [];
  for (const file of listSourceFiles(folder)) {
    const text = fs.readFileSync(file, 'utf8');
    for (const [, specifier] of text.matchAll(importPattern)) {
      const target = path.normalize(path.join(path.dirname(file), specifier));
      if (allowed.some(prefix => target.startsWith(prefix + path.sep))) {
        continue;
      }
      errors.push(`${file} imports ${target}, which DEPS.list doesn't allow`);
    }
  }
  return errors;
}

const folders = fs
  .readdirSync('src', {withFileTypes: true})
  .filter(entry => entry.isDirectory())
  .map(entry => path.join('src', entry.name));
folders.push('platform');
const errors = folders.flatMap(checkFolder);
for (const error of errors) console.error(error);
process.exitCode = errors.length > 0 ? 1 : 0;
