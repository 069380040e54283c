import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as decisions from '../decisions.js';
import * as task from '../task.js';

class Recording extends decisions.Decisions {
	readonly reasons: string[] = [];

	override record(name: string, {task: failed, reason}: decisions.Fields): void {
		this.reasons.push(`${name} ${String(failed)} ${String(reason).split('\n')[0]}`);
	}

	override request(): void {
		// No requests.
	}

	override ended(): void {
		// No requests.
	}
}

test.test('guards against an error of one task that ends the process, or that nobody learns of', async () => {
	const [time, recording] = [new clock.Manual(), new Recording()];
	new task.Tasks({clock: time, decisions: recording}).start('session', async () => {
		throw new TypeError('unexpected');
	});
	await time.advance(5000);
	assert.deepEqual(recording.reasons, ['task-failed session TypeError: unexpected']);
});

test.test('guards against a list that is no longer followed after an error', async () => {
	const [time, recording, stopped] = [new clock.Manual(), new Recording(), new AbortController()];
	let starts = 0;
	new task.Tasks({clock: time, decisions: recording}).keep('follower', stopped.signal, async () => {
		starts++;
		if (starts < 3) {
			throw new RangeError('unexpected');
		}

		await time.sleep(60_000, stopped.signal);
	});
	await time.advance(5000);
	assert.equal(starts, 3);
	assert.equal(recording.reasons.length, 2);
	stopped.abort();
	await time.advance(5000);
	assert.equal(starts, 3);
});
