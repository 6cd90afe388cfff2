/** Switches of a stand-in process, over gRPC, for those who run it from outside. */
import * as neverthrow from "neverthrow";
import * as z from "zod";
import * as grpc from "../src/adapters/grpc.js";
import type * as messages from "../src/ports/messages.js";
import type * as worlds from "./world.js";

const request = z.object({
    action: z.enum(["platformDown", "platformSlow", "kill", "revive", "freeze", "cut", "lag", "list", "calls"]),
    database: z.string().optional(),
    /** Endpoint, or `primary`. */
    endpoint: z.string().optional(),
    value: z.number(),
    hosts: z.array(z.object({ id: z.string(), address: z.string(), leaving: z.boolean() })).readonly().optional(),
}).readonly();

/** One switch to set. */
export type Request = z.infer<typeof request>;

/** Sets one switch. */
export const method: messages.Method<Request, { readonly done: string }> = {
    name: "control",
    request,
    reply: z.object({ done: z.string() }).readonly(),
};

async function act(world: worlds.World, wanted: Request): Promise<string> {
    const on = wanted.value !== 0;
    if (wanted.action === "platformDown") {
        world.platform.down(on);
        return "platform";
    }
    if (wanted.action === "platformSlow") {
        world.platform.slow(wanted.value);
        return "platform";
    }
    if (wanted.action === "calls") {
        return JSON.stringify(Object.fromEntries(world.platform.calls()));
    }
    if (wanted.action === "list") {
        world.platform.list(wanted.hosts ?? []);
        return "list";
    }
    const group = world.group(wanted.database ?? "");
    if (wanted.action === "lag") {
        group.lag(wanted.value);
        return group.database;
    }
    const member = wanted.endpoint === "primary"
        ? group.members.find(entry => entry.replica.isPrimary())
        : group.find(wanted.endpoint ?? "");
    if (wanted.action === "kill") {
        member?.kill();
    }
    if (wanted.action === "revive") {
        await member?.revive();
    }
    if (wanted.action === "freeze") {
        member?.freeze(on);
    }
    if (wanted.action === "cut") {
        group.cut(member?.id ?? "", on);
    }
    return member?.id ?? "none";
}

/** Serves the switches of a world. */
export function serve(world: worlds.World): Promise<grpc.Server> {
    return grpc.serve("127.0.0.1", 0, [
        grpc.handle(method, async wanted => neverthrow.ok({ done: await act(world, wanted) })),
    ]);
}
