/**
 * Divides the processor time of a process among the activities that it is used for. An event loop runs one thing at a
 * time, so the time from the entry into an activity up to the next entry, or to the end of the loop's turn, belongs to that
 * activity, with all continuations of promises in between.
 */

/** Settings of the division. */
export interface Options {
    /** Processor time that the process has used so far, in milliseconds. */
    usedMs(): number;
    /** Runs the action at the end of the present turn of the event loop. */
    atEndOfTurn(action: () => void): void;
}

/** Processor time by activity. */
export interface ProcessorTime {
    /** Charges what follows in this turn of the event loop to the activity. */
    enter(activity: string): void;
    /** Ends the start of the process; until then, what belongs to no activity is charged to the start. */
    endStart(): void;
    /** Milliseconds by activity since the process began. */
    usedMs(): Readonly<Record<string, number>>;
}

/** Activity of what belongs to no other one until the process has started. */
const startActivity = "start";
/** The same after that: the engine, the network libraries and what isn't measured apart. */
const otherActivity = "other";

/** Creates the division of a process that is about to start; what it has used so far belongs to the start. */
export function create(options: Options): ProcessorTime {
    const usedMs = new Map<string, number>();
    let base = startActivity;
    let current = base;
    let chargedMs = 0;
    let turnEnds = false;

    function charge(): void {
        const nowMs = options.usedMs();
        usedMs.set(current, (usedMs.get(current) ?? 0) + nowMs - chargedMs);
        chargedMs = nowMs;
    }

    return {
        enter(activity) {
            charge();
            current = activity;
            if (!turnEnds) {
                turnEnds = true;
                options.atEndOfTurn(() => {
                    charge();
                    current = base;
                    turnEnds = false;
                });
            }
        },
        endStart() {
            if (base === otherActivity) {
                return;
            }
            charge();
            current = current === base ? otherActivity : current;
            base = otherActivity;
        },
        usedMs() {
            charge();
            return Object.fromEntries(usedMs);
        },
    };
}
