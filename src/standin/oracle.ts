/**
The oracle of the fuzzing: compares what callers were told with what the servers' logs say. Writes insert rows with
unique marks into `ledger`, and reads return all of them with a tag of their own, so that every answer shows whose it is
and which part of the log it saw.
*/
import type * as log from './log.js';

/** Schema of the workload. The first row makes every complete answer of a read hold at least one. */
export const schema = [
	'CREATE TABLE ledger (entry INTEGER PRIMARY KEY, mark VARCHAR(64))',
	'INSERT INTO ledger (mark) VALUES (\'head\')',
];

/** What a caller was told. */
export type Told = 'ok' | 'not-run' | 'outcome-unknown' | 'position-lost' | 'database' | 'vanished';

/** A read as its caller saw it. Times are of the process's monotonic clock, in ms. */
export type Read = {
	readonly tag: string;
	/** Marks that must be seen, because the session carries them or a strict read started after their answer. */
	readonly mustSee: readonly string[];
	/** Stated age in ms; undefined if none. */
	readonly ageMs: number | undefined;
	readonly endedAt: number;
	/** Tags and marks as answered. */
	readonly rows: ReadonlyArray<readonly [string, string]>;
};

/** A single write, or the statements of a transaction. */
export type Write = {
	readonly marks: readonly string[];
	readonly requestId: string;
	readonly isIdempotent: boolean;
	readonly told: Told;
	/** The generated id that a single write was answered with; 0 if none. */
	readonly insertId: number;
};

/** What the servers recorded. */
export type Record = {
	/** The log that holds at the end. */
	readonly final: readonly log.Entry[];
	/** Every log that some server had at some time, the final one included. */
	readonly branches: ReadonlyArray<readonly log.Entry[]>;
	/** Time at which an entry of the final log was committed. */
	readonly committedAt: (entry: log.Entry) => number;
	/** Longest time in ms for which this process, in which everything runs, did nothing else. */
	readonly stallMs: number;
};

/** Time in ms that an answer takes from the entry host to its caller in this process, stalls aside. */
const deliverySlackMs = 40;

/** Marks that an entry inserted, in order. */
export function marksOf(entry: log.Entry): string[] {
	return entry.writes.flatMap(sql => /INSERT INTO ledger \(mark\) VALUES \('(?<mark>[^']+)'\)/v.exec(sql)?.groups?.mark ?? []);
}

/**
Faults that the record shows in what callers were told; none if all is well.

@example
```
assert.deepEqual(oracle.judge(reads, writes, record), []);
```
*/
export function judge(reads: readonly Read[], writes: readonly Write[], record: Record): string[] {
	return [...judgeWrites(writes, record), ...reads.flatMap(read => judgeRead(read, record))];
}

function judgeWrites(writes: readonly Write[], {final, branches}: Record): string[] {
	const rows = ['head', ...final.flatMap(entry => marksOf(entry))];
	const faults = writes.flatMap(write => judgeWrite(write, rows, writes));
	const owners = new Map(writes.flatMap(write => write.marks.map(mark => [mark, write] as const)));
	for (const entry of branches.flat()) {
		const marks = marksOf(entry);
		const owner = owners.get(marks[0] ?? '');
		if (marks.length > 0 && marks.join(',') !== owner?.marks.join(',')) {
			faults.push(`mixed: entry ${entry.term}:${entry.index} holds ${marks.join(',')} instead of the one transaction ${owner?.marks.join(',') ?? 'that wrote it'}`);
		}
	}

	return faults;
}

function judgeWrite(write: Write, rows: readonly string[], writes: readonly Write[]): string[] {
	const {marks, requestId, told, insertId, isIdempotent} = write;
	const name = `${marks.join(',')} (request ${requestId}, ${told})`;
	const same = requestId === '' ? [write] : writes.filter(other => other.requestId === requestId);
	const ran = same.flatMap(other => rows.filter(row => row === other.marks[0]));
	const hasRun = marks.some(mark => rows.includes(mark));
	const faults: string[] = [];
	if (!isIdempotent && ran.length > 1) {
		faults.push(`repeated: ${name} ran ${ran.length} times`);
	}

	if (told === 'ok' && ran.length === 0) {
		faults.push(`lost: ${name} was acknowledged`);
	}

	if (told === 'ok' && insertId > 0 && ran.length === 1 && rows[insertId - 1] !== ran[0]) {
		faults.push(`answer: ${name} was answered with id ${insertId}, which is ${rows[insertId - 1] ?? 'nothing'}`);
	}

	if (hasRun && told !== 'ok' && told !== 'outcome-unknown') {
		faults.push(`not-run: ${name} is in the log`);
	}

	return faults;
}

function judgeRead({tag, mustSee, ageMs, endedAt, rows}: Read, {final, branches, committedAt, stallMs}: Record): string[] {
	const marks = rows.map(([, mark]) => mark);
	const text = marks.slice(1).join(',');
	const faults: string[] = [];
	if (rows.some(([found]) => found !== tag) || marks[0] !== 'head') {
		faults.push(`answer: read ${tag} got ${JSON.stringify(rows.slice(0, 3))}`);
	}

	const isWhole = branches.some(branch => {
		const all = branch.flatMap(entry => marksOf(entry));
		const ends = branch.map((_, index) => branch.slice(0, index + 1).flatMap(entry => marksOf(entry)).length);
		return all.slice(0, marks.length - 1).join(',') === text && (marks.length === 1 || ends.includes(marks.length - 1));
	});
	if (!isWhole) {
		faults.push(`answer: read ${tag} is no state of any log: ${text}`);
	}

	const unseen = mustSee.filter(mark => !marks.includes(mark));
	if (unseen.length > 0) {
		faults.push(`own: read ${tag} misses ${unseen.join(',')}`);
	}

	const tooOld = ageMs === undefined
		? []
		: final.filter(entry => committedAt(entry) + ageMs + deliverySlackMs + stallMs < endedAt && marksOf(entry).some(mark => !marks.includes(mark)));
	if (tooOld.length > 0) {
		const byMs = Math.round(endedAt - ageMs! - Math.min(...tooOld.map(entry => committedAt(entry))));
		faults.push(`age: read ${tag} misses ${tooOld.flatMap(entry => marksOf(entry)).join(',')}, too old by ${byMs} ms at ${ageMs} ms`);
	}

	return faults;
}
