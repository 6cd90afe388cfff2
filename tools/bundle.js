/**
 * Bundles the daemon for platforms whose database groups have terms (`src/proxy/main.ts`):
 * `node tools/bundle.js [DIRECTORY] [ENGINE FLAG...]`. Without the bundle, a restarted process spends most of its start-up
 * time on resolving and loading modules; without the code cache, on compiling. The cache serves only processes that run
 * with the same engine flags.
 */
import * as esbuild from "esbuild";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const [directory = "target", ...flags] = process.argv.slice(2);
const launcher = path.join(directory, "hyssophatchd.cjs");

esbuild.buildSync({
    entryPoints: ["src/proxy/main.ts"],
    outfile: path.join(directory, "hyssophatchd.bundle.cjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    charset: "ascii",
    minify: true,
    keepNames: true,
    // Optional dependencies that the launcher leaves out.
    external: ["dtrace-provider", "mv", "source-map-support", "msgpackr-extract"],
    logLevel: "warning",
});
fs.copyFileSync("tools/launcher.cjs", launcher);
fs.rmSync(path.join(directory, "hyssophatchd.cache"), { force: true });
childProcess.execFileSync(process.execPath, [...flags, launcher, "--write-cache"], {
    stdio: ["ignore", "ignore", "ignore"],
});
