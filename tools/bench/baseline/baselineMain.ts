/** Process of one baseline router instance; its options come as JSON. */
import {baselineOptionsSchema, BaselineRouter} from './baselineRouter.js';

const options = baselineOptionsSchema.parse(JSON.parse(process.argv[2]));
await new BaselineRouter(options).run();
