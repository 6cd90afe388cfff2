/**
 * Bundles the daemon for platforms whose database groups have terms (`src/proxy/main.ts`) into one file:
 * `node tools/bundle.js [DIRECTORY]`. Without the bundle, a restarted process spends most of its start-up time on
 * resolving and loading modules.
 */
import * as esbuild from "esbuild";
import * as path from "node:path";

esbuild.buildSync({
    entryPoints: ["src/proxy/main.ts"],
    outfile: path.join(process.argv[2] ?? "target", "hyssophatchd.cjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minify: true,
    keepNames: true,
    // Optional dependencies of bunyan, which are not used and may not be installed.
    external: ["dtrace-provider", "mv", "source-map-support"],
    logLevel: "warning",
});
