/**
Runs an entry host on the users' platform, for the command line and for the daemon.
*/
import process from 'node:process';
import * as v8 from 'node:v8';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import * as random from '../core/random.js';
import * as settings from '../core/settings.js';
import * as entry from '../entry/entry.js';
import * as connections from '../entry/customers/connections.js';
import * as journal from '../entry/journal.js';
import type * as types from '../generated/types.js';
import * as intakes from '../intake/intake.js';
import * as sizes from '../intake/sizes.js';
import type * as metrics from '../host/metrics.js';
import * as authority from '../platform/authority.js';
import * as backend from '../platform/backend.js';
import * as deferred from '../peer/deferred.js';
import type * as link from '../peer/link.js';
import * as caller from '../platform/caller.js';
import * as http from '../platform/http.js';
import * as objects from '../platform/objects.js';
import * as exit from './exit.js';
import * as input from './input.js';

/**
Delay after the start before the metrics libraries are loaded. Loading takes a quarter of a second on a small host, and
callers are waiting after a restart.
*/
const metricsDelayMs = 3000;

const bytesPerMb = 1_048_576;

/** Time without a pong after which a link to another host is closed. It allows many round trips between regions. */
const linkTimeoutMs = 800;

/** Runs an entry host with the settings in `file`. */
export async function run(file: string): Promise<void> {
	const outcome = await loadSettings(file);
	if (Either.isLeft(outcome)) {
		exit.report(outcome.left);
		return;
	}

	const parsed = outcome.right;
	const time = new clock.System();
	const decisions = new journal.Journal(parsed.log.level, parsed.host.name, time);
	const limits = new intakes.Intake({
		clock: time,
		decisions,
		sizes: sizes.derive({
			memoryBytes: parsed.memory.limitMb * bytesPerMb,
			heapBytes: v8.getHeapStatistics().heap_size_limit,
			descriptors: parsed.descriptors.limit,
		}),
	});
	const clients = [new http.Client(parsed.endpoints.store), new http.Client(parsed.endpoints.authority)] as const;
	const host = new entry.Entry({
		settings: parsed,
		clock: time,
		random: new random.System(),
		decisions,
		async metrics() {
			const loadedMetrics = await loadMetrics(decisions, host);
			return loadedMetrics.text();
		},
		store: new objects.Objects(clients[0]),
		authority: new authority.Authority(clients[1]),
		transport: new deferred.Transport(async () => loadTransport(time, decisions, limits)),
		connect: registration => new backend.Server(registration, time),
		listener: accept => new caller.Listener(accept, limits),
		intake: limits,
	});
	process.once('SIGTERM', () => {
		void stop(host, clients);
	});
	// SIGHUP only validates the file and logs the result; settings never change while the process runs.
	process.on('SIGHUP', () => {
		void checkSettings(file, decisions);
	});
	await host.start();
	await time.sleep(metricsDelayMs);
	await loadMetrics(decisions, host);
}

async function loadTransport(time: clock.Clock, decisions: journal.Journal, intake: intakes.Intake): Promise<link.Transport<types.EntryMessage>> {
	const [socket, messages] = await Promise.all([import('../peer/socket.js'), import('../generated/forwarding.js')]);
	return new socket.Transport({
		clock: time,
		timeoutMs: linkTimeoutMs,
		isMessage: messages.validateEntryMessage,
		intake,
		warn(_message, {reason}) {
			decisions.record('link-closed', {reason});
		},
	});
}

let processMetrics: metrics.Metrics | undefined;

/** Returns the metrics of this process, which are created on first use. */
async function loadMetrics(decisions: journal.Journal, host: entry.Entry): Promise<metrics.Metrics> {
	const metricsModule = await import('../host/metrics.js');
	if (!processMetrics) {
		processMetrics = new metricsModule.Metrics();
		decisions.attach(processMetrics);
		connections.register(processMetrics, () => host.usage);
	}

	return processMetrics;
}

async function stop(host: entry.Entry, clients: readonly http.Client[]): Promise<void> {
	await host.drain();
	for (const client of clients) {
		client.close();
	}
}

async function checkSettings(file: string, decisions: journal.Journal): Promise<void> {
	const outcome = await loadSettings(file);
	decisions.record('settings-reloaded', {
		file, result: Either.isRight(outcome) ? 'valid; values apply from the next start' : outcome.left.message,
	});
}

async function loadSettings(file: string): Promise<errors.Outcome<types.EntrySettings>> {
	const text = await input.read(file);
	return Either.isLeft(text) ? text : settings.parseEntrySettings(text.right, file);
}
