#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz.h"
#include "settings.h"

/* Fuzz target of the settings parser: no text may crash a program. */

struct values {
	char *name;
	int64_t number;
	bool flag;
	struct st_strings list;
	char *choice;
};

static const struct st_key keys[] = {
    {"name", ST_STRING, offsetof(struct values, name), 1, 64, NULL, NULL, "h"},
    {"part.number", ST_INTEGER, offsetof(struct values, number), 1, 65535, "8",
	NULL, "h"},
    {"part.flag", ST_BOOLEAN, offsetof(struct values, flag), 0, 0, "false",
	NULL, "h"},
    {"part.list", ST_STRINGS, offsetof(struct values, list), 0, 64, "", NULL,
	"h"},
    {"log.level", ST_STRING, offsetof(struct values, choice), 1, 16, "info",
	"err|info|debug", "h"},
};
#define NKEYS (sizeof(keys) / sizeof(keys[0]))

const unsigned fz_decoders = 1;

const char *const fz_dictionary[] = {"name", "[part]", "[[part]]",
    "number = ", "flag = true", "list = [", "]", "\"", "'''", "\"\"\"",
    "\\u0000", "\\UFFFFFFFF", "=", "\n", "0x", "1e999", "-9223372036854775808",
    "9223372036854775808", "1979-05-27T07:32:00Z", "inf", "nan", "{a={b=1}}",
    ".", "#", "\r\n", "\xff", NULL};

static const char typical_settings[] =
    "name = \"entry-1\"\n[part]\nnumber = 7\nflag = true\n"
    "list = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n[log]\nlevel = \"debug\"\n";

static const char *const seeds[] = {
    typical_settings,
    "name = 'a'\npart = {number = 0x10, list = []}\n",
    "# comment\nname = \"\"\"x\ny\"\"\"\npart.number = 1_000\n",
    "name = 1\n[part]\nnumber = \"seven\"\n",
    "name = \"a\"\nname = \"b\"\n",
    "# Finist\xc3\xa8re\nname = \"a\"\n  # \xef\xbb\xbf\n",
    "name = \"a\"\n[unknown]\nkey = 1.5\n",
};

size_t
fz_seed(unsigned decoder, unsigned index, uint8_t *out)
{
	size_t len;

	if (decoder > 0 || index >= sizeof(seeds) / sizeof(seeds[0]))
		return (0);
	len = strlen(seeds[index]);
	memcpy(out, seeds[index], len);
	return (len);
}

static void
check_values(const struct values *v)
{
	if (v->name == NULL || strlen(v->name) < 1 || strlen(v->name) > 64 ||
	    v->number < 1 || v->number > 65535 || v->list.count > 64 ||
	    v->choice == NULL)
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct values v = {0};
	char message[256];
	char *text;

	if (size == 0)
		return (0);
	text = malloc(size);
	memcpy(text, data + 1, size - 1);
	text[size - 1] = '\0';
	if (st_parse(text, "fuzz.toml", keys, NKEYS, &v, message,
		sizeof(message)) == ST_OK) {
		check_values(&v);
		st_release(keys, NKEYS, &v);
	} else if (strlen(message) == 0) {
		abort();
	}
	free(text);
	return (0);
}
