/**
Mutation testing: applies each mutation to a copy of the compiled code under `out/mutate`, runs the tests that must
detect it, and prints a table. Exits with code 1 if a mutation survives or the unchanged code fails. `--only NAME`, which
may be repeated, runs single mutations, `--entry` only those of entry hosts on the users' platform.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as util from 'node:util';

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const scratch = path.join(root, 'out', 'mutate');
const testTimeoutMs = 240_000;
const concurrency = 2;
const trace = 'host/tests/trace.test.js';
const fuzz = 'bench/tests/fuzz.test.js';
const observer = 'core/tests/observer.test.js';
const pool = 'core/tests/pool.test.js';
const read = 'core/tests/read.test.js';
const write = 'core/tests/write.test.js';
const session = 'core/tests/session.test.js';
const statement = 'core/tests/statement.test.js';
const entry = ['group', 'read', 'write', 'session', 'failover', 'claims', 'follower', 'synchronizer', 'announcer', 'cache', 'revision', 'recorder', 'confirmation', 'outstanding'].map(name => `entry/tests/${name}.test.js`);
const starts = 'entry/recovery/tests/starts.test.js';
const promises = ['commits', 'moves', 'positions', 'replaced', 'model'].map(name => `entry/session/tests/${name}.test.js`);
const fencing = 'entry/tests/fencing.test.js';
const callers = 'platform/tests/caller.test.js';
const objects = 'platform/tests/http.test.js';

/** Name, number of the promise that it breaks, tests of which at least one must fail, file, text to replace, and replacement. */
const mutations = [
	['ignore the session position', 1, [trace, fuzz], 'core/read.js', 'const need = { position: minPosition, maximumAgeMs: undefined }', 'const need = { position: null, maximumAgeMs: undefined }'],
	['read index without a majority', 1, [observer], 'core/observer.js', 'confirmations.length < majority - 1', 'false'],
	['answer without a commit unconfirmed', 1, [write], 'core/write.js', 'Either.isRight(readIndex) && settlement.hasRemainedPrimary(readIndex.right, primary)', 'true'],
	['skip the age check after the answer', 1, [read], 'core/read.js', 'ageMs <= need.maximumAgeMs', 'true'],
	['count the age without the answer\'s time', 1, [read], 'core/read.js', 'ageAtSendMs + this.#group.clock.now() - sentAt', 'ageAtSendMs'],
	['acknowledge before replicas confirm', 2, [trace, fuzz], 'core/acknowledgement.js', 'name === \'durable\' ? new Durable(time)', 'name === \'durable\' ? { confirm: async () => Either.right(undefined) }'],
	['recall a record of a replaced primary', 2, [write], 'core/settlement.js', 'Either.isRight(readIndex) && !hasRemainedPrimary(readIndex.right, primary)', 'false'],
	['reuse a connection without reset', 3, [trace, fuzz], 'core/pool.js', 'residue === \'dirty\'', 'residue === \'never\''],
	['begin inside an open transaction', 3, [session], 'core/session.js', 'isOpen && transaction === \'begin\'', 'false'],
	['continue the transaction after a deadlock', 3, [session], 'core/session.js', 'endingCodes.has(outcome.left.code)', 'false'],
	['drop the last row of an answer', 4, [trace], 'mysql/client.js', 'rows: content,', 'rows: content.slice(0, -1),'],
	['return the result of another read', 4, [fuzz, trace], 'core/read.js', 'await connection.execute(request.sql, Math.max(1, this.#remainingMs(attemptDeadline)))', '(this.last ??= await connection.execute(request.sql, Math.max(1, this.#remainingMs(attemptDeadline))))'],
	['not-run after a lost connection without settling', 5, [trace, fuzz], 'core/settlement.js', 'async settle(recordId, deadline) {', 'async settle(recordId, deadline) { return errors.fail(\'not-run\', \'settle\', \'\', \'\');'],
	['not-run after an unknown attempt', 5, [trace, fuzz], 'core/write.js', 'unknown && Either.isLeft(outcome) ? unknown', 'false ? unknown'],
	['cancel without a record', 5, [trace, fuzz], 'core/settlement.js', 'await record.insert(connection, recordId, { state: \'cancelled\', affectedRows: 0, insertId: 0 }, Math.min(attemptTimeoutMs, this.#remainingMs(deadline)))', 'Either.right({ kind: \'ok\', affectedRows: 0, insertId: 0, position: null, server: connection.server })'],
	['retry a non-idempotent write', 6, [trace], 'core/write.js', '(outcome.left.kind === \'outcome-unknown\' && options.isIdempotent)', 'outcome.left.kind === \'outcome-unknown\''],
	['skip the request record', 6, [trace, fuzz], 'core/write.js', 'await record.insert(connection, record.id(request), { state: \'done\', affectedRows, insertId }, this.#remainingMs(deadline))', 'Either.right({ kind: \'ok\', affectedRows: 0, insertId: 0, position: null, server: connection.server })'],
	['accept a request id without a record', 6, [session], 'core/session.js', '!isRecordable && !idempotent', 'false'],
	['allow several statements in one text', 1, [statement], 'core/statement.js', String.raw`end !== -1 && /[^\s;]/v.test(text.slice(end))`, 'false'],
	['treat executed comments as comments', 1, [statement], 'core/statement.js', 'executedCommentPattern.test(sql.slice(opener.index, end))', 'false'],
	['end a line comment one line too late', 1, [statement], 'core/statement.js', String.raw`--(?=[\u0000-\u0020\u007F]|$)`, String.raw`--\s`],
	['treat a call of a stored function as a read', 1, [statement], 'core/statement.js', 'functions.readOnly.has((groups?.name ?? \'\').toLowerCase())', 'true'],
	['ignore the connection quota', '1.1', [pool], 'core/pool.js', 'this.#held.size + this.#idle.length + this.#pending', '0'],
];

/** Mutations of entry hosts on the users' platform, with the affected component in place of the promise. */
const entryMutations = [
	['promote while a replica is unresponsive', 'failover', entry, 'entry/succession.js', 'synchronized.length < replicas.length + missing.length - (!leader && mayHaveLeader ? 1 : 0)', 'false'],
	['let a replica be silent after the removal of the leader', 'failover', entry, 'entry/group.js', 'this.#leader === undefined && !this.#losses.hasRemovedLeader', 'this.#leader === undefined'],
	['count a server as synchronized after the removal of a replica', 'failover', entry, 'entry/group.js', 'other.recordLostLog(since);', ''],
	['verify a log only against the oldest read index', 'failover', entry, 'entry/group/indexes.js', 'this.#indexes.findLast(index => position', 'this.#indexes.slice(0, 1).find(index => position'],
	['don\'t pause a server that registers during a promotion', 'failover', entry, 'entry/fence.js', 'server !== this.target && !this.#known.includes(server)', 'false'],
	['don\'t renew the pause', 'failover', entry, 'entry/fence.js', 'current.status.heldTerm >= term', 'true'],
	['take a server that joined later for one that lost its log', 'recovery', entry, 'entry/insync.js', 'return has(this.#stored, registration);', 'return false;'],
	['don\'t miss a server that disappeared before the start', 'recovery', entry, 'entry/succession.js', 'replicas.length + missing.length', 'replicas.length'],
	['drop a server from the in-sync set while another one may lack its commits', 'recovery', entry, 'entry/insync.js', 'return isInDoubt ? undefined', 'return false ? undefined'],
	['promote beside a leader that responds', 'failover', [fencing], 'entry/succession.js', 'if (!attempt.isSeenByOthers)', 'if (true)'],
	['take a leader that leads on for one that stepped down', 'failover', [fencing], 'entry/succession.js', 'return stepped.right.status.role === \'replica\' ?', 'return true ?'],
	['replace a leader that responds to other hosts', 'failover', [fencing], 'entry/failover.js', 'responding.length === 0 || isShared', 'true'],
	['count a full pool as silence', 'failover', entry, 'entry/group/probes.js', '!isRefused', 'true'],
	['count a write without an answer as silence', 'failover', entry, 'entry/lease.js', 'work.mode === \'read\'', 'true'],
	['choose a server behind the answer to the step-down', 'failover', [fencing], 'entry/succession.js', 'replicas.filter(replica => has(replica, status.position))', 'replicas'],
	['give up when no replica is complete after a step-down', 'failover', [fencing], 'entry/succession.js', 'complete ?? found ?? stepped', 'complete ?? found ?? attempt.found[0]'],
	['replace a stalled leader that acknowledges again', 'failover', [fencing], 'entry/succession.js', 'return isUnacknowledged && isComplete &&', 'return isComplete &&'],
	['confirm commits while a successor is chosen', 'failover', [fencing], 'entry/confirmation.js', ': \'withheld\'', ': \'confirmed\''],
	['confirm commits that the successor lacks', 'failover', [fencing], 'entry/succession.js', 'found ? \'discard\' : \'keep\'', '\'keep\''],
	['ignore a claim that only the store shows', 'failover', entry, 'entry/confirmation.js', 'if (token > this.#announcedToken) {', 'if (false) {'],
	['ignore what other hosts have confirmed', 'failover', [fencing], 'entry/succession.js', 'confirmed = acknowledged ?', 'confirmed = false ?'],
	['confirm commits at an isolated host', 'failover', entry, 'entry/confirmation.js', 'this.#isClaimed(receivedAt) || this.#options.isIsolated()', 'this.#isClaimed(receivedAt)'],
	['let a leader lead on that returns during a promotion', 'failover', entry, 'entry/fence.js', 'await sent.stepDown(leader, term);', ''],
	['pause replicas while another one may return', 'failover', entry, 'entry/succession.js', 'this.#options.group.absent.length === 0', 'true'],
	['repeat the order after the fence was breached', 'failover', entry, 'entry/failover.js', 'fence.breach === \'\'', 'true'],
	['repeat the order for a server that started again without its log', 'failover', entry, 'entry/failover.js', 'checked = await this.#checkTarget(fence);', ''],
	['count an unsynchronized server as evidence of the log end', 'failover', entry, 'entry/succession.js', 'responding.filter(({ member: server }) => server.isSynchronized)', 'responding'],
	['promote while the server list still grows', 'failover', entry, 'entry/failover.js', 'now - lastAddedAt < membershipSettleMs', 'false'],
	['pause replication above the next term', 'failover', entry, 'entry/succession.js', 'Math.max(...attempt.found.map(({ status }) => status.term)) + 1', 'Math.max(...attempt.found.map(({ status }) => status.term)) + 5'],
	['ignore the claim of another host', 'failover', entry, 'entry/claims.js', 'entry?.value !== undefined && !entry.isMade', 'false'],
	['forget a claim whose response was lost', 'failover', entry, 'entry/claims.js', 'found.right?.value?.nonce === value.nonce', 'false'],
	['confirm commits right after a start', 'start', [starts], 'entry/confirmation.js', 'this.#recovery = \'begun\';', ''],
	['trust a release from before a restoration', 'start', [starts], 'entry/claims.js', ' && generationOf(entry.value.nonce) === revisions.split(entry.revision).generation', ''],
	['vouch for orders while recovering', 'start', entry, 'entry/confirmation.js', 'mayOrder || this.isRecovering || this', 'mayOrder || this'],
	['never release a claim', 'start', [starts], 'entry/failover.js', 'else if (this.#mayReleaseClaim) {', 'else if (false) {'],
	['release a claim while an order is outstanding', 'start', entry, 'entry/failover.js', 'confirmations.allOutstanding?.length === 0', 'true'],
	['keep the claim of the previous process', 'start', entry, 'entry/claims.js', 'entry?.revision !== undefined && entry.isHeld', 'entry?.revision !== undefined && entry.value?.holder === host'],
	['forget a claim when a newer one is recorded', 'start', entry, 'entry/confirmation.js', '[...this.#claims, { token, seenAt: this.#options.clock.now() }]', '[{ token, seenAt: this.#options.clock.now() }]'],
	['read at a replaced primary', 'read', entry, 'entry/read.js', 'Either.isLeft(begun) || begun.right.refusal !== null', 'Either.isLeft(begun)'],
	['ignore the session\'s own commit', 'read', entry, 'entry/read.js', 'position.latest(readIndex.position, job.sessionPosition)', 'position.latest(readIndex.position, null)'],
	['read without a minimum position', 'read', entry, 'entry/lease.js', 'id, text: text ?? \'\', minPosition,', 'id, text: text ?? \'\', minPosition: null,'],
	['retry a write after a lost response', 'write', entry, 'entry/write.js', 'return statement.refuse(\'in-doubt\'', 'return statement.refuse(\'busy\''],
	['follow a leader of an earlier term', 'group', entry, 'entry/group.js', 'if (!isNewer) {', 'if (false) {'],
	['keep the read indexes of a replaced leader', 'group', entry, 'entry/group.js', 'this.#readIndexes.clear();', ''],
	['ignore the time that the machine was suspended', 'group', entry, 'core/clock.js', 'Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs)', 'to.monotonicMs - from.monotonicMs'],
	['keep another session\'s values', 'session', entry, 'entry/state.js', 'commands.push({ kind: \'reset\' });', ''],
	['prepare all statements under one name', 'session', entry, 'entry/state.js', String.raw`return \`\${mode} \${shape}\`;`.replaceAll('\\', ''), 'return mode;'],
	['close a session inside a transaction', 'session', entry, 'entry/session.js', '!this.isInTransaction && !this.#caller.hasPendingRequest', '!this.#caller.hasPendingRequest'],
	['forget commits at other services', 'session', promises, 'entry/session/commits.js', 'this.#positions.set(service, position.latest(this.positionAt(service), committed));', 'this.#positions = new Map([[service, committed]]);'],
	['replace the position of a commit by an earlier one', 'session', promises, 'entry/session/commits.js', 'position.latest(this.positionAt(service), committed)', 'committed'],
	['count a commit for the service of the route in force', 'session', promises, 'entry/session.js', 'this.#recordCommit(id, reply, job.route) : reply;\n    }\n    async #run(', 'this.#recordCommit(id, reply, this.#options.deployment.route(this.#database) ?? job.route) : reply;\n    }\n    async #run('],
	['confirm a write whose reply carries no position', 'session', promises, 'entry/group/commit.js', 'if (!logEnd) {', 'if (!logEnd) {\n        return Either.right(undefined);'],
	['pass on a success without a position', 'session', promises, 'entry/session.js', 'if (!reply.position) {', 'if (!reply.position) {\n            return reply;'],
	['refuse reads at a position that no server has', 'session', promises, 'entry/read.js', 'presentPosition ? await this.#executeAt(job, presentPosition) : result', 'result'],
	['apply an older configuration', 'configuration', entry, 'entry/deployment.js', 'content.version <= this.#content.version', 'false'],
	['refuse at once while servers are at their connection limit', 'connection storm', entry, 'entry/job.js', 'job.group.isBlockedByLimit || job.group.isStarting', 'false'],
	['stop waiting for a read index at a connection limit', 'connection storm', entry, 'entry/read.js', '!job.group.isBlockedByLimit || !jobs.hasTime(this.#context, job)', 'true'],
	['attempt a connection for each waiting request', 'connection storm', [pool], 'core/pool.js', '&& !this.#isBackingOff', ''],
	['refuse probes for as long as a refusal counts as recent', 'connection storm', [pool], 'core/pool.js', 'this.isBlockedByLimit && this.#isBackingOff', 'this.isBlockedByLimit'],
	['watch the store at once after the list', 'fleet start', entry, 'entry/follower.js', 'isFirst ? this.#options.firstWatchDelayMs : 0', '0'],
	['announce a host that is announced already', 'fleet start', entry, 'entry/announcer.js', '!this.#isAnnounced', 'true'],
	['compare the counter of a restored store alone', 'restored store', entry, 'entry/revision.js', '(generation * (maxCounter + 1)) + counter', 'counter'],
	['apply changes of the time before a restoration', 'restored store', [objects], 'platform/objects.js', 'responseGeneration !== generation || ', ''],
	['leave a watch waiting through a restoration', 'restored store', [objects], 'platform/objects.js', 'this.#restored.abort();', ''],
	['list without a pause while the list is older', 'restored store', entry, 'entry/follower.js', 'listed < revision', 'false'],
	['hold a connection to the store after leaving it', 'fleet start', entry, 'entry/follower.js', 'watchMs, signal)', 'watchMs, new AbortController().signal)'],
	['require the observer\'s revision to be this host\'s own', 'fleet start', entry, 'entry/synchronizer.js', 'revisions.split(revision).generation !== revisions.split(notice.revision).generation', 'revision !== notice.revision'],
	['replace a claim that the store has lost', 'restored store', entry, 'entry/claims.js', '{ ...entry, revision: undefined }', 'entry'],
	['announce a host only once', 'restored store', entry, 'entry/announcer.js', '!listed || revisions.split(listed.revision).generation < revisions.split(listedAt).generation', '!listed'],
	['take an older configuration from a restored store', 'restored store', entry, 'entry/retention.js', 'restored.value.version < value.version', 'false'],
	['leave replicas paused whose claim is lost', 'restored store', entry, 'entry/failover.js', 'resumeIntervalMs : unclaimedResumeMs', 'resumeIntervalMs : Number.POSITIVE_INFINITY'],
	['read from the socket after the session was closed', 'shutdown', [callers], 'platform/caller.js', 'this.#socket.pause();', 'this.#socket.end();\n        this.#markEnded();\n        return;'],
];

/** Leaves the code unchanged, so all tests must pass; otherwise a failure for another reason would count as a detection. */
const baseline = ['(none)', '', [trace, fuzz, session, statement, observer, pool, read, write, ...entry, ...promises, fencing, callers, objects], 'core/read.js', 'ageAtSendMs + ', 'ageAtSendMs + '];

function prepare(index, mutation) {
	const [name, file, from, to] = [mutation[0], ...mutation.slice(3)];
	const folder = path.join(scratch, String(index));
	fs.rmSync(folder, {recursive: true, force: true});
	fs.mkdirSync(folder, {recursive: true});
	fs.cpSync(path.join(root, 'dist'), path.join(folder, 'dist'), {recursive: true});
	fs.cpSync(path.join(root, 'src/host/tests/traces'), path.join(folder, 'src/host/tests/traces'), {recursive: true});
	fs.copyFileSync(path.join(root, 'package.json'), path.join(folder, 'package.json'));
	const target = path.join(folder, 'dist', file);
	const text = fs.readFileSync(target, 'utf8');
	if (text.split(from).length !== 2) {
		throw new Error(`mutation "${name}": the text to replace occurs ${text.split(from).length - 1} times in ${file} instead of once`);
	}

	fs.writeFileSync(target, text.replace(from, () => to));
	return folder;
}

async function run(folder, file) {
	return new Promise(resolve => {
		childProcess.execFile(process.execPath, ['--test', '--test-reporter=tap', path.join('dist', file)], {cwd: folder, timeout: testTimeoutMs, maxBuffer: 50_000_000}, (error, output) => {
			const failed = /^not ok \d+ - (?<name>.*)$/mv.exec(output)?.groups?.name;
			resolve(error ? (failed ?? 'no failed test in the output; the run timed out or crashed') : '');
		});
	});
}

async function check(index, mutation) {
	const folder = prepare(index, mutation);
	for (const file of mutation[2]) {
		const failed = await run(folder, file);
		if (failed !== '') {
			return `${file}: ${failed.slice(0, 60)}`;
		}
	}

	return '';
}

const {values} = util.parseArgs({options: {only: {type: 'string', multiple: true}, entry: {type: 'boolean', default: false}}});
const pending = [baseline, ...(values.entry ? [] : mutations), ...entryMutations].map((mutation, index) => ({mutation, index}))
	.filter(({mutation}) => mutation === baseline || values.only === undefined || values.only.includes(mutation[0]));
const results = [];
await Promise.all(Array.from({length: concurrency}, async () => {
	for (let next = pending.shift(); next; next = pending.shift()) {
		results.push({index: next.index, mutation: next.mutation, detectedBy: await check(next.index, next.mutation)});
	}
}));
console.log('| mutation | promise | caught by |\n| --- | --- | --- |');
for (const {mutation: [name, promise], detectedBy} of results.toSorted((left, right) => left.index - right.index)) {
	console.log(`| ${name} | ${promise} | ${detectedBy === '' ? (name === baseline[0] ? 'passes' : '**survived**') : detectedBy} |`);
}

process.exitCode = results.some(({mutation, detectedBy}) => (detectedBy === '') !== (mutation === baseline)) ? 1 : 0;
