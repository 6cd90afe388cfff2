/** Formats the sources, or with `--check` names those that are not formatted. */
import * as dprint from "@dprint/formatter";
import * as typescript from "@dprint/typescript";
import * as fs from "node:fs";

const roots = ["src", "standins", "scenarios", "bench", "tools"];
const { typescript: options, lineWidth } = JSON.parse(fs.readFileSync("dprint.json", "utf8"));
const formatter = dprint.createFromBuffer(fs.readFileSync(typescript.getPath()));
formatter.setConfig({ lineWidth }, options);

const files = roots
    .filter(root => fs.existsSync(root))
    .flatMap(root => fs.readdirSync(root, { recursive: true }).map(name => `${root}/${name}`))
    .filter(name => /\.(ts|js)$/.test(name))
    .concat("eslint.config.js");
const check = process.argv.includes("--check");
const changed = files.filter(file => {
    const text = fs.readFileSync(file, "utf8");
    const formatted = formatter.formatText({ filePath: file, fileText: text });
    if (formatted !== text && !check) {
        fs.writeFileSync(file, formatted);
    }
    return formatted !== text;
});

if (changed.length > 0) {
    console.log(`${check ? "Not formatted" : "Formatted"}: ${changed.join(", ")}.`);
}
process.exitCode = check && changed.length > 0 ? 1 : 0;
