/**
Revisions of the store's objects. A store that is restored from a copy counts again from an earlier revision, and each
restoration starts a new generation of it. A revision therefore consists of a generation and the store's own counter, in
one number: it increases across restorations, and no two changes have the same one.
*/

/** Highest counter and generation. At a thousand changes a second, a store reaches this counter after 34 years. */
export const maxCounter = (2 ** 40) - 1;
export const maxGeneration = (2 ** 13) - 1;

/** A revision's parts: how often the store had been restored, and the counter that it gave out then. */
export type Parts = {readonly generation: number; readonly counter: number};

/**
Combines the parts into a revision, which equals the counter in generation 0.

@example
```ts
revision.combine({generation: 1, counter: 21}) > revision.combine({generation: 0, counter: 9000}); // true
```
*/
export function combine({generation, counter}: Parts): number {
	return (generation * (maxCounter + 1)) + counter;
}

/**
The parts of a revision.

@example
```ts
revision.split(21); // {generation: 0, counter: 21}
```
*/
export function split(revision: number): Parts {
	return {generation: Math.floor(revision / (maxCounter + 1)), counter: revision % (maxCounter + 1)};
}
