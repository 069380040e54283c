import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as decisions from '../decisions.js';
import * as stalls from '../stall.js';

/** A clock whose timers are late by `lateMs`. */
class Late extends clock.Manual {
	lateMs = 0;

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		await super.sleep(ms + this.lateMs, signal);
	}
}

class Recorder extends decisions.Decisions {
	readonly lateMs: unknown[] = [];

	override record(name: string, fields: decisions.Fields): void {
		assert.equal(name, 'loop-stalled');
		this.lateMs.push(fields.lateMs);
	}

	override request(): void {
		// Stalls concern no single request.
	}

	override ended(): void {
		// Stalls concern no single request.
	}
}

// Guards against a stall that leaves no line, and against a line for each timer of a busy loop.
test.test('a stall is recorded with its length, and the longest one of each second', async () => {
	const time = new Late();
	const recorder = new Recorder();
	const stopped = new AbortController();
	void new stalls.Monitor({clock: time, decisions: recorder}).run(stopped.signal);
	await time.advance(1000);
	assert.deepEqual(recorder.lateMs, []);
	time.lateMs = 300;
	await time.advance(500);
	assert.deepEqual(recorder.lateMs, [300]);
	time.lateMs = 200;
	await time.advance(400);
	time.lateMs = 0;
	await time.advance(1000);
	assert.deepEqual(recorder.lateMs, [300, 300]);
	stopped.abort();
});
