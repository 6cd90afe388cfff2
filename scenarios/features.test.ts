/** Runs every scenario of the feature files under mocha. */
import * as expressions from "@cucumber/cucumber-expressions";
import * as gherkin from "@cucumber/gherkin";
import * as messages from "@cucumber/messages";
import * as fs from "node:fs";
import * as path from "node:path";
import * as stages from "./stage.js";
import * as callers from "./steps/callers.js";
import * as faults from "./steps/faults.js";
import * as promises from "./steps/promises.js";
import * as starts from "./steps/starts.js";

const directory = "scenarios";
const scenarioTimeoutMs = 120_000;
const registry = new expressions.ParameterTypeRegistry();
const steps = Object.entries({ ...starts.steps, ...faults.steps, ...callers.steps, ...promises.steps })
    .map(([text, action]) => ({ expression: new expressions.CucumberExpression(text, registry), action }));

function parse(file: string): readonly messages.Pickle[] {
    const newId = messages.IdGenerator.incrementing();
    const parser = new gherkin.Parser(new gherkin.AstBuilder(newId), new gherkin.GherkinClassicTokenMatcher());
    const document = parser.parse(fs.readFileSync(path.join(directory, file), "utf8"));
    return gherkin.compile(document, file, newId);
}

async function perform(stage: stages.Stage, text: string): Promise<void> {
    const matches = steps.flatMap(step => {
        const found = step.expression.match(text);
        return found === null
            ? []
            : [{ step, values: found.map(argument => argument.getValue<never>(undefined) as never) }];
    });
    if (matches.length !== 1) {
        throw new Error(`Step "${text}" matches ${matches.length} expressions.`);
    }
    const match = matches[0];
    await match?.step.action(stage, ...match.values);
}

for (const file of fs.readdirSync(directory).filter(name => name.endsWith(".feature")).sort()) {
    describe(file.replace(".feature", ""), () => {
        for (const pickle of parse(file)) {
            it(pickle.name, async () => {
                const stage = stages.createStage();
                try {
                    for (const step of pickle.steps) {
                        await perform(stage, step.text);
                    }
                }
                finally {
                    for (const close of [...stage.closers].reverse()) {
                        await close();
                    }
                }
            }).timeout(scenarioTimeoutMs);
        }
    });
}
