import * as chai from "chai";
import * as directories from "../core/directory.js";
import * as listings from "./endpointlisting.js";

const endpoint = (id: string, sequence: number, draining = false): directories.Endpoint => ({
    id,
    group: "ledger",
    address: id,
    failureDomain: "z",
    slots: 2,
    draining,
    primary: false,
    born: 1,
    sequence,
});

describe("the endpoint listing of a host", () => {
    function create(): { listing: listings.EndpointListing; changeCount: () => number } {
        let changes = 0;
        const listing = listings.createEndpointListing({
            directory: directories.createDirectory({ missingGraceMs: 2_500, outageGapMs: 2_500 }),
            events: { emit: () => undefined, reportOmitted: () => undefined },
            onChange: () => void (changes += 1),
        });
        return { listing, changeCount: () => changes };
    }

    it("gets younger with each confirmation, and reports only changes", () => {
        const { listing, changeCount } = create();
        listing.offer([endpoint("i-1", 1)], 1_000);
        const { hash } = listing.summary(1_000) ?? { hash: "" };
        listing.offer([endpoint("i-1", 2)], 2_000);
        chai.expect([listing.confirm(hash, 3_000), listing.confirm(hash, 2_500)]).to.deep.equal([true, true]);
        chai.expect([listing.listedAtMs(), listing.summary(3_100)?.ageMs, changeCount()]).to.deep.equal([
            3_000,
            100,
            1,
        ]);
        chai.expect(listing.confirm("other", 4_000)).to.equal(false);
        listing.offer([endpoint("i-1", 3, true)], 4_000);
        chai.expect([listing.summary(4_000)?.hash === hash, changeCount()]).to.deep.equal([false, 2]);
    });

    it("passes on what is listed, without an endpoint that is only kept for a while", () => {
        const { listing, changeCount } = create();
        listing.offer([endpoint("i-1", 1), endpoint("i-2", 1)], 1_000);
        listing.offer([endpoint("i-1", 2)], 2_000);
        chai.expect([listing.endpoints().map(entry => entry.id), changeCount()]).to.deep.equal([["i-1"], 1]);
        const { hash } = listing.summary(2_000) ?? { hash: "" };
        [3_500, 4_600].forEach(requestedAtMs => listing.confirm(hash, requestedAtMs));
        chai.expect(changeCount()).to.equal(2);
    });
});
