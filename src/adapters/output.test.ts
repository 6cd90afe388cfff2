import * as chai from "chai";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as output from "./output.js";

describe("output", () => {
    it("writes all lines in order", async () => {
        const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "output-")), "log");
        const descriptor = fs.openSync(file, "w");
        const writer = output.createWriter(descriptor);
        const lines = Array.from({ length: 500 }, (_, index) => `line ${index}\n`);
        lines.forEach(line => writer.write(line));
        await writer.flush(2_000);
        fs.closeSync(descriptor);
        chai.expect(fs.readFileSync(file, "utf8")).to.equal(lines.join(""));
        chai.expect(writer.dropped()).to.equal(0);
    });

    it("does not block while the reader is stalled, and counts the lines it drops", async () => {
        const modulePath = path.resolve("dist/src/adapters/output.js");
        const script = `import("${modulePath}").then(output => {
            const writer = output.createWriter();
            let turns = 0;
            const timer = setInterval(() => {
                for (let count = 0; count < 200; count += 1) writer.write("x".repeat(200) + "\\n");
                turns += 1;
                if (turns === 50) {
                    clearInterval(timer);
                    process.stderr.write(String(writer.dropped()));
                    process.exit(0);
                }
            }, 5);
        });`;
        const child = childProcess.spawn(process.execPath, ["-e", script], { stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.pause();
        let dropped = "";
        child.stderr.on("data", (chunk: Buffer) => {
            dropped += chunk.toString();
        });
        const code = await new Promise(resolve => child.on("exit", resolve));
        chai.expect(code).to.equal(0);
        chai.expect(Number(dropped)).to.be.above(1_000);
    });
});
