/**
 * Bundles the daemon for the platform into one file: `node tools/bundle.js target`. A process that starts again
 * after a kill otherwise spends most of its start on finding and reading modules.
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
    // Optional parts of the log library that are not installed everywhere and not used.
    external: ["dtrace-provider", "mv", "source-map-support"],
    logLevel: "warning",
});
