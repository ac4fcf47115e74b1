/**
 * Turns off the just-in-time compilation of schema parsers in zod. It takes a
 * tenth of a second at the start of a process and pays off only after thousands
 * of parsed objects. Import this module before any that builds schemas.
 */
import {config} from 'zod';

config({jitless: true});
