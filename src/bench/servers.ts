/**
A child process of `capacity.js`: starts database groups of three stand-in servers and sends their ports to its parent.
*/
import process from 'node:process';
import * as group from '../standin/group.js';

const places = ['puget-a', 'willamette-a', 'inland-a'];

/** Message that the child sends: for each group the ports of its servers, the primary's first. */
export type Started = {readonly ports: ReadonlyArray<readonly number[]>};

async function start(count: number): Promise<Started> {
	const ports: number[][] = [];
	for (let index = 0; index < count; index++) {
		const started = await group.Group.start({places, schema: []});
		ports.push([...started.servers.values()].map(({port}) => port));
	}

	return {ports};
}

if (process.send) {
	process.send(await start(Number(process.argv[2])));
	process.once('disconnect', () => {
		process.exit();
	});
}
