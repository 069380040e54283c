/**
Empty caches of the store's objects, for tests.
*/
import type * as clock from '../../core/clock.js';
import type * as decisions from '../decisions.js';
import type * as notices from '../notice.js';
import type * as objects from '../objects.js';
import * as retentions from '../retention.js';
import * as cache from '../cache.js';

/** Creates empty caches of all kinds. */
export function caches(time: clock.Clock, record: decisions.Decisions): notices.Caches {
	const make = <K extends objects.Kind>(kind: K, retention: retentions.Retention<K> = new retentions.Discarding<K>()): cache.Cache<K> => new cache.Cache({
		kind,
		retention,
		clock: time,
		decisions: record,
		onChange() {
			// Tests check the cache's state.
		},
	});
	return {
		configuration: make('configuration', new retentions.ConfigurationRetention()), servers: make('servers', new retentions.ServerRetention()), hosts: make('hosts', new retentions.HostRetention()), claims: make('claims'),
	};
}
