/**
Time since the start of the script, and waits.
*/
const startedAt = performance.now();

/** Time in ms since the start of the script. */
export function now() {
	return performance.now() - startedAt;
}

export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Waits until `condition` holds; returns false if it doesn't within `limitMs`. */
export async function until(condition, limitMs) {
	const end = now() + limitMs;
	while (!condition()) {
		if (now() > end) {
			return false;
		}

		await sleep(5);
	}

	return true;
}
