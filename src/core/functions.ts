/**
Built-in functions of MySQL that change no data and do not depend on the state of the connection. A statement that calls
any other function counts as a write, because a stored function may change data.
*/

const nameLists = [
	// Comparison and control flow.
	'coalesce greatest interval isnull least strcmp if ifnull nullif any_value grouping',
	// Numbers.
	'abs acos asin atan atan2 ceil ceiling conv cos cot crc32 degrees exp floor ln log log10 log2 mod pi pow power',
	'radians rand round sign sin sqrt tan truncate format',
	// Text. `insert` and `replace` are also statements; the classifier checks for those separately.
	'ascii bin bit_length char char_length character_length concat concat_ws elt export_set field find_in_set',
	'from_base64 hex instr lcase left length locate lower lpad ltrim make_set mid oct octet_length ord position quote',
	'regexp_instr regexp_like regexp_replace regexp_substr repeat replace reverse right rpad rtrim soundex space',
	'substr substring substring_index to_base64 trim ucase unhex upper weight_string like match against',
	// Time.
	'adddate addtime convert_tz curdate current_date current_time current_timestamp curtime date date_add date_format',
	'date_sub datediff day dayname dayofmonth dayofweek dayofyear extract from_days from_unixtime get_format hour',
	'last_day localtime localtimestamp makedate maketime microsecond minute month monthname now period_add period_diff',
	'quarter sec_to_time second str_to_date subdate subtime sysdate time time_format time_to_sec timediff timestamp',
	'timestampadd timestampdiff to_days to_seconds unix_timestamp utc_date utc_time utc_timestamp week weekday',
	'weekofyear year yearweek',
	// Conversion, hashes and information.
	'cast convert binary md5 sha sha1 sha2 compress uncompress uncompressed_length bit_count inet_aton inet_ntoa',
	'inet6_aton inet6_ntoa is_ipv4 is_ipv6 is_uuid uuid_to_bin bin_to_uuid charset collation coercibility database',
	'schema version user current_user session_user system_user',
	// Aggregates and windows.
	'avg bit_and bit_or bit_xor count group_concat json_arrayagg json_objectagg max min std stddev stddev_pop',
	'stddev_samp sum var_pop var_samp variance cume_dist dense_rank first_value lag last_value lead nth_value ntile',
	'percent_rank rank row_number over',
	// JSON.
	'json_array json_array_append json_array_insert json_contains json_contains_path json_depth json_extract json_insert',
	'json_keys json_length json_merge_patch json_merge_preserve json_object json_overlaps json_pretty json_quote',
	'json_remove json_replace json_search json_set json_table json_type json_unquote json_valid json_value',
	// Keywords and types that may precede a parenthesis without being function calls.
	'select from where and or not xor in is on as by having limit between union except intersect all any some exists',
	'distinct join using values row when then else case end div window partition index key use force ignore lateral',
	'with recursive columns path nested explain analyze decimal numeric varchar signed unsigned datetime float',
];

/** Lowercase names that may precede an opening parenthesis in a read. */
export const readOnly: ReadonlySet<string> = new Set(nameLists.flatMap(list => list.split(' ')));
