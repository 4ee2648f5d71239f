import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { PathShare } from "../../schema/config/PathShare.js";
import { listUniqueNames } from "./listUniqueNames.js";

/** An object that the change writes or deletes. */
interface ChangedObject {
    readonly kind: ConfigKind;
    readonly name: string;
    /** Undefined if the object is deleted. */
    readonly object: ConfigObject | undefined;
}

/** The state after the change. */
interface ResultingState {
    readonly changedObjects: readonly ChangedObject[];
    readonly get: (kind: ConfigKind, name: string) => ConfigObject | undefined;
    readonly all: (kind: ConfigKind) => Iterable<ConfigObject>;
    /** Name of another object of the same kind that already owns a name that must be unique. */
    readonly findOtherOwner: (object: ConfigObject, uniqueName: string) => string | undefined;
}

const maxFloorShareSum = 0.9;

/** Message about the first violated reference or constraint in the state after a change, with the remedy; undefined if there is none. */
export function findConstraintViolation(state: ResultingState): string | undefined {
    for (const changed of state.changedObjects) {
        const message = changed.object === undefined ? checkDeletion(changed, state) : checkPut(changed.object, state);
        if (message !== undefined) {
            return message;
        }
    }
    return undefined;
}

function checkPut(object: ConfigObject, state: ResultingState): string | undefined {
    switch (object.kind) {
        case "serviceClass":
            return checkFloorShares(state);
        case "customer":
            return checkCustomer(object.value, state) ?? checkUniqueNames(object, state);
        case "pool":
            return checkUniqueNames(object, state);
        case "pathShare":
            return checkPathShare(object.value, state);
    }
}

function checkDeletion(changed: ChangedObject, state: ResultingState): string | undefined {
    if (changed.kind !== "serviceClass") {
        return undefined;
    }
    for (const object of state.all("customer")) {
        if (object.kind === "customer" && referencesClass(object.value, changed.name)) {
            return `service class "${changed.name}" is used by customer "${object.value.name}"; change the customer first`;
        }
    }
    for (const object of state.all("pathShare")) {
        if (object.kind === "pathShare" && object.value.serviceClass === changed.name) {
            return `service class "${changed.name}" is used by path share "${object.value.name}"; delete the path share first`;
        }
    }
    return undefined;
}

function checkFloorShares(state: ResultingState): string | undefined {
    let sum = 0;
    for (const object of state.all("serviceClass")) {
        sum += object.kind === "serviceClass" ? object.value.floorShare : 0;
    }
    return sum > maxFloorShareSum
        ? `the floor shares of all service classes add up to more than ${maxFloorShareSum}; lower one or more of them`
        : undefined;
}

function checkCustomer(customer: Customer, state: ResultingState): string | undefined {
    const missing = customer.classes.find(name => state.get("serviceClass", name) === undefined);
    if (missing !== undefined) {
        return `customer "${customer.name}" references service class "${missing}", which does not exist; create the class first`;
    }
    if (!customer.classes.includes(customer.defaultClass)) {
        return `customer "${customer.name}" does not list its default class "${customer.defaultClass}" among its classes; add it`;
    }
    return undefined;
}

function checkUniqueNames(object: ConfigObject, state: ResultingState): string | undefined {
    const names = listUniqueNames(object);
    if (new Set(names).size < names.length) {
        return `${object.kind} "${object.value.name}" lists a key hash or an upstream id more than once; remove the duplicate`;
    }
    for (const name of names) {
        const otherOwner = state.findOtherOwner(object, name);
        if (otherOwner !== undefined) {
            return `${object.kind} "${object.value.name}" lists a key hash or an upstream id of "${otherOwner}"; use a different one`;
        }
    }
    return undefined;
}

function checkPathShare(share: PathShare, state: ResultingState): string | undefined {
    const name = `${share.service}/${share.serviceClass}`;
    if (share.name !== name) {
        return `path share "${share.name}" must be named "${name}", after its service and service class`;
    }
    return state.get("serviceClass", share.serviceClass) === undefined
        ? `path share "${share.name}" references service class "${share.serviceClass}", which does not exist; create the class first`
        : undefined;
}

function referencesClass(customer: Customer, name: string): boolean {
    return customer.classes.includes(name) || customer.defaultClass === name;
}
