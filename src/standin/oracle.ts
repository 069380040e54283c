/**
Test oracle of the fuzzing: compares the answers that callers received with the servers' logs. Each write inserts rows
with unique marks into `ledger`. Each read returns all rows and its own unique tag, so that an answer shows to which
request it belongs and which prefix of the log it reflects.
*/
import type * as log from './log.js';

/** Schema of the workload. Its row `head` comes first in every complete answer, which therefore is never empty. */
export const schema = [
	'CREATE TABLE ledger (entry INTEGER PRIMARY KEY, mark VARCHAR(64))',
	'INSERT INTO ledger (mark) VALUES (\'head\')',
];

/** Outcome of a write as reported to its caller. `vanished`: the caller disconnected before COMMIT or rolled back. */
export type Outcome = 'ok' | 'not-run' | 'outcome-unknown' | 'position-lost' | 'database' | 'vanished';

/** A read and its answer. Times are in ms of the process's monotonic clock. */
export type Read = {
	readonly tag: string;
	/** Marks that the answer must contain: the session carries their positions, or a strict read began after their answers. */
	readonly requiredMarks: readonly string[];
	/** Accepted age of the data in ms; undefined if the read states none. */
	readonly maxAgeMs: number | undefined;
	readonly endedAt: number;
	/** Tag and mark of each row in the answer. */
	readonly rows: ReadonlyArray<readonly [string, string]>;
};

/** A single write, or the statements of a transaction. */
export type Write = {
	readonly marks: readonly string[];
	readonly requestId: string;
	readonly isIdempotent: boolean;
	readonly outcome: Outcome;
	/** Insert id in the answer to a single write; 0 if none. */
	readonly insertId: number;
};

/** Logs of the servers, and timings of the run. */
export type History = {
	/** The log of the final primary. */
	readonly finalLog: readonly log.Entry[];
	/** The servers' current logs, which include the final one, and the logs they had before each truncation. */
	readonly logs: ReadonlyArray<readonly log.Entry[]>;
	/** Commit time of an entry of the final log, in ms of the process's monotonic clock. */
	readonly committedAt: (entry: log.Entry) => number;
	/** Longest stall in ms of the event loop, which callers, entry hosts and servers share. */
	readonly maxStallMs: number;
};

/** Tolerance in ms for the delivery of an answer from the entry host to its caller, in addition to stalls. */
const deliveryToleranceMs = 40;

/** Marks that an entry inserts, in order. */
export function marksOf(entry: log.Entry): string[] {
	return entry.writes.flatMap(sql => /INSERT INTO ledger \(mark\) VALUES \('(?<mark>[^']+)'\)/v.exec(sql)?.groups?.mark ?? []);
}

/**
Returns the answers that contradict the logs, as messages; empty if there are none.

@example
```
assert.deepEqual(oracle.check(reads, writes, history), []);
```
*/
export function check(reads: readonly Read[], writes: readonly Write[], history: History): string[] {
	return [...checkWrites(writes, history), ...reads.flatMap(read => checkRead(read, history))];
}

function checkWrites(writes: readonly Write[], {finalLog, logs}: History): string[] {
	const rows = ['head', ...finalLog.flatMap(entry => marksOf(entry))];
	const violations = writes.flatMap(write => checkWrite(write, rows, writes));
	const writeByMark = new Map(writes.flatMap(write => write.marks.map(mark => [mark, write] as const)));
	for (const entry of logs.flat()) {
		const marks = marksOf(entry);
		const write = writeByMark.get(marks[0] ?? '');
		if (marks.length > 0 && marks.join(',') !== write?.marks.join(',')) {
			violations.push(`mixed: entry ${entry.term}:${entry.index} holds ${marks.join(',')} instead of the marks of one transaction, ${write?.marks.join(',') ?? 'which is unknown'}`);
		}
	}

	return violations;
}

function checkWrite(write: Write, rows: readonly string[], writes: readonly Write[]): string[] {
	const {marks, requestId, outcome, insertId, isIdempotent} = write;
	const name = `${marks.join(',')} (request ${requestId}, ${outcome})`;
	const sameRequest = requestId === '' ? [write] : writes.filter(other => other.requestId === requestId);
	const executed = sameRequest.flatMap(other => rows.filter(row => row === other.marks[0]));
	const isInLog = marks.some(mark => rows.includes(mark));
	const violations: string[] = [];
	if (!isIdempotent && executed.length > 1) {
		violations.push(`repeated: ${name} ran ${executed.length} times`);
	}

	if (outcome === 'ok' && executed.length === 0) {
		violations.push(`lost: ${name} was acknowledged`);
	}

	if (outcome === 'ok' && insertId > 0 && executed.length === 1 && rows[insertId - 1] !== executed[0]) {
		violations.push(`answer: ${name} was answered with id ${insertId}, which belongs to ${rows[insertId - 1] ?? 'no row'}`);
	}

	if (isInLog && outcome !== 'ok' && outcome !== 'outcome-unknown') {
		violations.push(`not-run: ${name} is in the log`);
	}

	return violations;
}

function checkRead({tag, requiredMarks, maxAgeMs, endedAt, rows}: Read, {finalLog, logs, committedAt, maxStallMs}: History): string[] {
	const marks = rows.map(([, mark]) => mark);
	const answered = marks.slice(1).join(',');
	const violations: string[] = [];
	if (rows.some(([found]) => found !== tag) || marks[0] !== 'head') {
		violations.push(`answer: read ${tag} got ${JSON.stringify(rows.slice(0, 3))}`);
	}

	const isLogState = logs.some(entries => {
		const logMarks = entries.flatMap(entry => marksOf(entry));
		const markCounts = entries.map((_, index) => entries.slice(0, index + 1).flatMap(entry => marksOf(entry)).length);
		return logMarks.slice(0, marks.length - 1).join(',') === answered && (marks.length === 1 || markCounts.includes(marks.length - 1));
	});
	if (!isLogState) {
		violations.push(`answer: read ${tag} matches no committed state of any log: ${answered}`);
	}

	const missing = requiredMarks.filter(mark => !marks.includes(mark));
	if (missing.length > 0) {
		violations.push(`own: read ${tag} misses ${missing.join(',')}`);
	}

	const missedEntries = maxAgeMs === undefined
		? []
		: finalLog.filter(entry => committedAt(entry) + maxAgeMs + deliveryToleranceMs + maxStallMs < endedAt && marksOf(entry).some(mark => !marks.includes(mark)));
	if (missedEntries.length > 0) {
		const excessMs = Math.round(endedAt - maxAgeMs! - Math.min(...missedEntries.map(entry => committedAt(entry))));
		violations.push(`age: read ${tag} misses ${missedEntries.flatMap(entry => marksOf(entry)).join(',')}, too old by ${excessMs} ms at ${maxAgeMs} ms`);
	}

	return violations;
}
