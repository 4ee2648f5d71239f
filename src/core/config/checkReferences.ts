import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { PathShare } from "../../schema/config/PathShare.js";
import { listUniqueNames } from "./listUniqueNames.js";

interface Changed {
    readonly kind: ConfigKind;
    readonly name: string;
    /** Undefined when the object is deleted. */
    readonly object: ConfigObject | undefined;
}

interface StateAfter {
    readonly written: readonly Changed[];
    readonly get: (kind: ConfigKind, name: string) => ConfigObject | undefined;
    readonly all: (kind: ConfigKind) => Iterable<ConfigObject>;
    /** Name of another object of the kind that holds a name which only one may hold. */
    readonly findOtherOwner: (object: ConfigObject, ownedName: string) => string | undefined;
}

const maxFloorShareSum = 0.9;

/** The first broken reference in the state that a change would leave, with its remedy; undefined when there is none. */
export function checkReferences(state: StateAfter): string | undefined {
    for (const changed of state.written) {
        const message = changed.object === undefined ? checkDeleted(changed, state) : checkPut(changed.object, state);
        if (message !== undefined) {
            return message;
        }
    }
    return undefined;
}

function checkPut(object: ConfigObject, state: StateAfter): string | undefined {
    switch (object.kind) {
        case "serviceClass":
            return checkFloorShares(state);
        case "customer":
            return checkCustomer(object.value, state) ?? checkOwnedNames(object, state);
        case "pool":
            return checkOwnedNames(object, state);
        case "pathShare":
            return checkPathShare(object.value, state);
    }
}

function checkDeleted(changed: Changed, state: StateAfter): string | undefined {
    if (changed.kind !== "serviceClass") {
        return undefined;
    }
    for (const object of state.all("customer")) {
        if (object.kind === "customer" && usesClass(object.value, changed.name)) {
            return `service class "${changed.name}" is used by customer "${object.value.name}"; change the customer first`;
        }
    }
    for (const object of state.all("pathShare")) {
        if (object.kind === "pathShare" && object.value.serviceClass === changed.name) {
            return `service class "${changed.name}" is used by path share "${object.value.name}"; delete the share first`;
        }
    }
    return undefined;
}

function checkFloorShares(state: StateAfter): string | undefined {
    let sum = 0;
    for (const object of state.all("serviceClass")) {
        sum += object.kind === "serviceClass" ? object.value.floorShare : 0;
    }
    return sum > maxFloorShareSum
        ? `the floor shares of all classes add up to more than ${maxFloorShareSum}; lower some of them`
        : undefined;
}

function checkCustomer(customer: Customer, state: StateAfter): string | undefined {
    const missing = customer.classes.find(name => state.get("serviceClass", name) === undefined);
    if (missing !== undefined) {
        return `customer "${customer.name}" names service class "${missing}", which does not exist; create the class first`;
    }
    if (!customer.classes.includes(customer.defaultClass)) {
        return `customer "${customer.name}" has default class "${customer.defaultClass}", which is not among its classes; add it there`;
    }
    return undefined;
}

function checkOwnedNames(object: ConfigObject, state: StateAfter): string | undefined {
    const names = listUniqueNames(object);
    if (new Set(names).size < names.length) {
        return `${object.kind} "${object.value.name}" names a key or an upstream id twice; name each once`;
    }
    for (const name of names) {
        const other = state.findOtherOwner(object, name);
        if (other !== undefined) {
            return `${object.kind} "${object.value.name}" shares a key or an upstream id with "${other}"; give each its own`;
        }
    }
    return undefined;
}

function checkPathShare(share: PathShare, state: StateAfter): string | undefined {
    const name = `${share.service}/${share.serviceClass}`;
    if (share.name !== name) {
        return `path share "${share.name}" must be named "${name}"`;
    }
    return state.get("serviceClass", share.serviceClass) === undefined
        ? `path share "${share.name}" names service class "${share.serviceClass}", which does not exist; create the class first`
        : undefined;
}

function usesClass(customer: Customer, name: string): boolean {
    return customer.classes.includes(name) || customer.defaultClass === name;
}
