/**
 * Starts the bundled daemon from V8's code cache beside it. Without a cache, or with one of another version of Node.js or
 * other engine flags, the bundle is compiled anew, which takes longer.
 */
"use strict";
const fs = require("node:fs");
const path = require("node:path");
const vm = require("node:vm");

/** Optional dependencies that the daemon doesn't use; looking for them in vain, or loading them, takes time. */
const unusedModules = new Set(["dtrace-provider", "mv", "source-map-support", "msgpackr-extract"]);

const bundle = path.join(__dirname, "hyssophatchd.bundle.cjs");
const cacheFile = path.join(__dirname, "hyssophatchd.cache");

function readCache() {
    try {
        return fs.readFileSync(cacheFile);
    }
    catch {
        return undefined;
    }
}

function requireUsed(name) {
    if (unusedModules.has(name)) {
        throw new Error(`Module ${name} is not used.`);
    }
    return require(name);
}

const cachedData = readCache();
// The parameters of a CommonJS module.
const source = `(function (exports, require, module, __filename, __dirname) {${fs.readFileSync(bundle, "latin1")}\n})`;
const script = new vm.Script(source, { filename: bundle, cachedData });
if (script.cachedDataRejected !== false) {
    process.stderr.write(
        `The code cache is ${cachedData === undefined ? "missing" : "rejected"}; the start takes longer.\n`,
    );
}
const bundled = { exports: {} };
script.runInThisContext()(bundled.exports, requireUsed, bundled, bundle, __dirname);
if (process.argv[2] === "--write-cache") {
    // The daemon has found no settings of that name, and so has started nothing.
    fs.writeFileSync(cacheFile, script.createCachedData());
    process.exit(0);
}
