/** Formats the sources; with `--check`, lists the files that are not formatted and exits with status 1. */
import * as dprint from "@dprint/formatter";
import * as typescript from "@dprint/typescript";
import * as fs from "node:fs";

const sourceDirectories = ["src", "standins", "scenarios", "bench", "tools"];
const { typescript: options, lineWidth } = JSON.parse(fs.readFileSync("dprint.json", "utf8"));
const formatter = dprint.createFromBuffer(fs.readFileSync(typescript.getPath()));
formatter.setConfig({ lineWidth }, options);

const files = sourceDirectories
    .filter(directory => fs.existsSync(directory))
    .flatMap(directory => fs.readdirSync(directory, { recursive: true }).map(name => `${directory}/${name}`))
    .filter(name => /\.(ts|js|cjs)$/.test(name))
    .concat("eslint.config.js");
const checkOnly = process.argv.includes("--check");
const unformatted = files.filter(file => {
    const text = fs.readFileSync(file, "utf8");
    const formatted = formatter.formatText({ filePath: file, fileText: text });
    if (formatted !== text && !checkOnly) {
        fs.writeFileSync(file, formatted);
    }
    return formatted !== text;
});

if (unformatted.length > 0) {
    console.log(`${checkOnly ? "Not formatted" : "Formatted"}: ${unformatted.join(", ")}.`);
}
process.exitCode = checkOnly && unformatted.length > 0 ? 1 : 0;
