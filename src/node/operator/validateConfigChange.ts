import type { ConfigView } from "../../core/config/ConfigView.js";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import { listConfigObjects } from "./listConfigObjects.js";

type Operations = ConfigChange["operations"];

/** Faults that a change would add to the configuration, such as names that nothing defines. Empty when there are none. */
export function validateConfigChange(view: ConfigView, operations: Operations): string[] {
    const before = new Set(allFaults(listConfigObjects(view, undefined)));
    return allFaults(objectsAfter(view, operations)).filter(fault => !before.has(fault));
}

function allFaults(objects: readonly ConfigObject[]): string[] {
    const classNames = new Set(namesOf(objects, "serviceClass"));
    const services = new Set(objects.flatMap(object => object.kind === "pool" ? object.value.services : []));
    return objects.flatMap(object => faultsOf(object, classNames, services));
}

function objectsAfter(view: ConfigView, operations: Operations): ConfigObject[] {
    const objects = new Map(listConfigObjects(view, undefined).map(object => [`${object.kind}/${object.value.name}`, object]));
    for (const operation of operations) {
        if (operation.op === "put") {
            objects.set(`${operation.object.kind}/${operation.object.value.name}`, operation.object);
        }
        else {
            objects.delete(`${operation.kind}/${operation.name}`);
        }
    }
    return [...objects.values()];
}

function namesOf(objects: readonly ConfigObject[], kind: ConfigObject["kind"]): string[] {
    return objects.filter(object => object.kind === kind).map(object => object.value.name);
}

function faultsOf(object: ConfigObject, classNames: ReadonlySet<string>, services: ReadonlySet<string>): string[] {
    const where = `${object.kind} ${object.value.name}`;
    switch (object.kind) {
        case "customer": {
            const { classes, defaultClass } = object.value;
            return [
                ...classes.filter(name => !classNames.has(name)).map(name =>
                    `${where}: class ${name} is not defined; put it in the same change`
                ),
                ...classes.includes(defaultClass)
                    ? []
                    : [`${where}: defaultClass ${defaultClass} is not among its classes; add it to classes`],
            ];
        }
        case "pathShare": {
            const { name, service, serviceClass } = object.value;
            return [
                ...name === `${service}/${serviceClass}` ? [] : [`${where}: the name must be ${service}/${serviceClass}`],
                ...classNames.has(serviceClass) ? [] : [`${where}: class ${serviceClass} is not defined; put it in the same change`],
                ...services.has(service) ? [] : [`${where}: no pool serves ${service}; put one in the same change`],
            ];
        }
        case "pool": {
            const ids = object.value.upstreams.map(upstream => upstream.id);
            return ids.filter((id, index) => ids.indexOf(id) !== index).map(id =>
                `${where}: upstream id ${id} stands twice; make ids unique`
            );
        }
        default:
            return [];
    }
}
