/**
 * Mocha module that ends the process once nothing is left to do. Node.js 20 may
 * otherwise wait for ever in its own teardown, for a request that it has
 * cancelled (`CleanupHandles`). A handle that a test has left open still keeps the process
 * running, as before.
 */
process.on('beforeExit', () => process.exit());
