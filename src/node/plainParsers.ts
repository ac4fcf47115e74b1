/**
 * Keeps schemas from compiling their parsers, which takes a tenth of a second at
 * the start of a process and pays off only after thousands of objects. Imported
 * before any module that builds schemas.
 */
import {config} from 'zod';

config({jitless: true});
