/** Keeps stand-ins and three hosts running, and prints how to connect. */
import * as fleets from "./fleet.js";
import * as worlds from "./world.js";

const places = [
    { region: "ro-nord", failureDomain: "cluj-a" },
    { region: "ro-nord", failureDomain: "cluj-b" },
    { region: "ro-sud", failureDomain: "buc-a" },
];

const fleet = await fleets.createFleet({ user: "roata", topology: {}, places });
console.log(`platform: ${fleet.platform}`);
for (const host of fleet.hosts) {
    console.log(
        `${host.id}: callers 127.0.0.1:${host.callersPort}, peers ${host.peers}, operations 127.0.0.1:${host.operationsPort}`,
    );
}
console.log(`routes: ${Object.keys(worlds.document(fleet.topology).routes).join(", ")}`);
console.log(`connect: mysql -h 127.0.0.1 -P ${fleet.hosts[0]?.callersPort} -u cluj -p${worlds.key("cluj")} orders`);
console.log(`operate: node dist/src/cli/main.js config show --platform ${fleet.platform}`);
console.log("Stop with Ctrl-C.");
const stop = (): void => void fleet.stop().then(() => process.exit(0));
process.on("SIGINT", stop);
process.on("SIGTERM", stop);
