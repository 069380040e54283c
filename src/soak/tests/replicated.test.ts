import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as checkers from '../checker.js';
import * as replicated from '../replicated.js';

/** A group that replicates, with its first server as primary. */
class Fixture {
	static async run(check: (fixture: Fixture) => Promise<void>): Promise<void> {
		const fixture = new Fixture();
		const running = fixture.group.run(fixture.#stopped.signal);
		try {
			await check(fixture);
		} finally {
			fixture.#stopped.abort();
			await fixture.advance(commitTimeoutMs);
			await running;
		}
	}

	readonly time = new clock.Manual();
	readonly checker = new checkers.Checker(this.time);
	readonly group = new replicated.Group('g', ['east', 'west', 'north'], this.time, this.checker);
	readonly #stopped = new AbortController();

	/** Appends a write at a server without waiting for a replica. */
	append(server: replicated.Server, id: string): void {
		void this.group.commit(server, [{id, text: 'WRITE 1 a'}]);
	}

	async advance(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += stepMs) {
			await this.time.advance(stepMs);
		}
	}
}

const stepMs = 10;
const commitTimeoutMs = 4000;

function idsOf({log}: replicated.Server): string[] {
	return log.flatMap(({writes}) => writes.map(({id}) => id));
}

test.test('the last commits of a primary that steps down reach each replica that receives at that time, as they do on a network', async () => {
	await Fixture.run(async fixture => {
		const [primary, replica, deaf] = fixture.group.servers;
		deaf.isDeaf = true;
		fixture.append(primary, 'w1');
		fixture.group.stepDown(primary);
		await fixture.advance(200);
		assert.deepEqual([primary.role, idsOf(replica), idsOf(deaf)], ['replica', ['w1'], []]);
		deaf.isDeaf = false;
		await fixture.advance(200);
		assert.deepEqual(idsOf(deaf), []);
	});
});

test.test('a replica learns the term of a new primary only by receiving from it, and is busy while it removes what that lacks', async () => {
	await Fixture.run(async fixture => {
		const [primary, target, other] = fixture.group.servers;
		[target.isDeaf, other.isDeaf] = [true, true];
		fixture.append(primary, 'w1');
		primary.reconnectMs = 500;
		assert.equal(fixture.group.promote(target.id), true);
		await fixture.advance(replicated.defaultPromotionMs);
		assert.deepEqual([target.role, target.term, primary.role, primary.term, idsOf(primary)], ['primary', 2, 'replica', 1, ['w1']]);
		await fixture.advance(600);
		assert.deepEqual([primary.term, idsOf(primary), other.term], [2, [], 1]);
		assert.ok(primary.rollsBackUntil > fixture.time.now() - replicated.rollbackMs);
		assert.equal(other.rollsBackUntil, 0);
	});
});

test.test('a promotion that takes effect after a later order has done so changes nothing', async () => {
	await Fixture.run(async fixture => {
		const [, late, next] = fixture.group.servers;
		fixture.group.promotionMs = 2000;
		fixture.group.promote(late.id);
		await fixture.advance(100);
		fixture.group.promotionMs = 100;
		fixture.group.promote(next.id);
		await fixture.advance(3000);
		assert.deepEqual([late.role, next.role, next.term], ['replica', 'primary', 2]);
	});
});

test.test('a server that is replaced passes its log and term to a replica with a new id, and no longer leads', async () => {
	await Fixture.run(async fixture => {
		const [primary] = fixture.group.servers;
		fixture.append(primary, 'w1');
		const added = fixture.group.replace(primary);
		assert.deepEqual([added.id, added.role, added.term, idsOf(added)], ['g-3', 'replica', 1, ['w1']]);
		assert.deepEqual([fixture.group.primary, fixture.group.servers.includes(primary)], [undefined, false]);
	});
});

test.test('a promotion without an acknowledged write is reported with the target, the order and the running servers that have the write', async () => {
	await Fixture.run(async fixture => {
		const [primary, holder, target] = fixture.group.servers;
		target.isDeaf = true;
		fixture.append(primary, 'w1');
		await fixture.advance(100);
		fixture.checker.recordOutcome('g', ['w1'], 'acknowledged');
		primary.isUnresponsive = true;
		fixture.group.promote(target.id, 'order of entry-0 with token 5');
		await fixture.advance(replicated.defaultPromotionMs);
		assert.equal(fixture.checker.violations.length, 1);
		assert.match(fixture.checker.violations[0], /^lost: w1 .*promoted g-2 \(term 0, 0 entries\) after g-0 by order of entry-0 with token 5, held by g-1 \(term 1, 1 entries\)$/v);
		assert.equal(holder.role, 'replica');
	});
});
