import { expect } from "earl";
import { test } from "node:test";
import type { QuotaLoan } from "../../schema/peer/QuotaLoan.js";
import { QuotaAccount } from "./QuotaAccount.js";

const limits = { requests: 100, tokens: Infinity, concurrent: Infinity };
const loan: QuotaLoan = { requests: 20, tokens: 0, concurrent: 100, validMs: 5000, fleetUsedRequests: 0.7, fleetUsedTokens: 0 };
const usedRequests = 3;

/** An account that has used a part of a loan of owner "a", and has sent the owner another report. */
function createAccountWithReportInFlight(): QuotaAccount {
    const account = new QuotaAccount(0);
    account.setOwner("a");
    account.admit(limits, 0, 1, 0);
    account.buildReport(limits, 0);
    account.acceptLoan({ ...loan, requests: usedRequests, fleetUsedRequests: 0.1 }, 1);
    for (let index = 0; index < usedRequests; index++) {
        expect(account.admit(limits, 0, 1, 2, index > 0).kind).toEqual("admitted");
    }
    account.buildReport(limits, 1000);
    return account;
}

for (const owners of [["b"], ["b", "a"]]) {
    test(`an answer to a report from before the owner changed from a to ${owners.join(" to ")} lends nothing and leaves the history due`, () => {
        const account = createAccountWithReportInFlight();
        owners.forEach(owner => {
            account.setOwner(owner);
        });
        account.acceptLoan(loan, 1001);
        expect(account.admit(limits, 0, 1, 1002).kind).not.toEqual("admitted");
        const { history } = account.buildReport(limits, 1100);
        expect(history?.requests.reduce((sum, amount) => sum + amount, 0)).toEqual(usedRequests);
        expect(history?.fleetUsedRequests ?? 0).toBeGreaterThan(0.6);
        account.acceptLoan(loan, 1101);
        expect(account.admit(limits, 0, 1, 1102).kind).toEqual("admitted");
        expect(account.buildReport(limits, 2000).history).toEqual(undefined);
    });
}
