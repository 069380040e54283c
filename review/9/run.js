/**
A primary is silent for some time, and a host orders the promotion of a replica. The call gets no answer and is carried out some
seconds later. The host's process is killed after the call and starts again, the primary answers again, and a new replica
starts. No acknowledged write may be missing in the log of the promoted server. Without the disruption the primary isn't silent, no host is killed, and only the new replica starts.
*/
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as judgment from '../lib-2/judgment.js';
import * as scenes from '../lib-2/scene.js';
import {Writers} from '../lib-2/writer.js';

const isTroubled = process.env.TROUBLE !== '0';
const clientsOfHost = 8;
const warmUpMs = 5000;
/** Time after which the call is carried out, of 2 to 12 s. */
const lateMs = 2300;
/** Times from the call to the end of the host's process, to its start, and to the return of the primary and the new replica. */
const killAfterMs = 20;
const restartAfterMs = 250;
const returnAfterMs = 500;
const promotionTimeoutMs = 10_000;
const afterMs = 2000;
const folder = path.dirname(url.fileURLToPath(import.meta.url));

await scenes.run(folder, async scene => {
	const {group, platform} = scene;
	const hosts = [];
	for (const [index, zone] of ['zone-a', 'zone-b', 'zone-c'].entries()) {
		hosts.push(await scene.startHost({name: `entry-${index + 1}`, zone}));
	}

	const writers = new Writers();
	for (const host of hosts) {
		writers.start(host, clientsOfHost);
	}

	await scenes.sleep(warmUpMs);
	const {primary} = group;
	scene.note(`${writers.acknowledged.length} writes acknowledged; ${primary.id} leads`);
	if (!isTroubled) {
		scene.report(await group.add('i-4', primary.zone, 'replica'));
		await scenes.sleep(warmUpMs);
		await writers.stop();
		const kept = new Set(primary.log.flatMap(({ids}) => ids));
		const lost = writers.acknowledged.filter(({id}) => !kept.has(id)).length;
		return lost === 0 && group.promotions.length === 0 ? scenes.held() : scenes.notRun('writes were lost or a server was promoted');
	}

	platform.lateMs = lateMs;
	group.darken(primary);
	scene.note(`${primary.id} is silent`);
	await scenes.until(() => platform.calls.length > 0, promotionTimeoutMs);
	const [order] = platform.calls;
	if (!order) {
		return scenes.notRun('no promotion was ordered');
	}

	scene.note(`${order.holder} ordered the promotion of ${order.id} with token ${order.token}`);
	const claimant = hosts.find(({name}) => name === order.holder);
	await scenes.sleep(killAfterMs);
	scene.kill(claimant);
	await scenes.sleep(restartAfterMs);
	await scene.restart(claimant);
	await scenes.sleep(Math.max(0, returnAfterMs - (Date.now() - order.at)));
	group.lighten(primary);
	scene.note(`${primary.id} answers again, as ${primary.role}`);
	scene.report(await group.add('i-4', primary.zone, 'replica'));
	await scenes.until(() => group.promotions.length > 0, promotionTimeoutMs);
	const [promotion] = group.promotions;
	if (!promotion) {
		return scenes.notRun('no promotion took effect');
	}

	scene.note(`${promotion.server} was promoted to term ${promotion.term}`);
	await scenes.sleep(afterMs);
	await writers.stop();
	for (const {at, holder, id, token} of platform.calls) {
		scene.note(`call ${promotion.at - at} ms before the promotion: ${holder}, ${id}, token ${token}`);
	}

	return judgment.compare(scene, writers, promotion);
});
