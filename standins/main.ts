/** Runs the stand-ins as a process of their own and prints where they listen. */
import * as control from "./control.js";
import * as worlds from "./world.js";

const topology = process.argv[2] === "fraser" ? worlds.fraser : worlds.roata;
const overrides = JSON.parse(process.argv[3] ?? "{}") as Partial<worlds.Topology>;
const world = await worlds.createWorld({ ...topology, ...overrides });
const switches = await control.serve(world);
const close = (): void => {
    void world.close().then(() => process.exit(0));
};

process.on("SIGTERM", close);
process.on("disconnect", close);
process.stdout.write(
    `${JSON.stringify({ platform: world.platform.address, control: `127.0.0.1:${switches.port}` })}\n`,
);
