#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "settings_toml.h"

using Visit = bool (*)(void *, const struct toml_value *);

static void
fill_strings(const toml::array &list, std::vector<std::string> &texts,
    struct toml_value &value)
{
	value.type = TOML_STRINGS;
	for (const auto &item : list) {
		const auto *text = item.as_string();
		if (text == nullptr) {
			value.type = TOML_OTHER;
			return;
		}
		texts.push_back(text->get());
	}
}

static bool
visit_leaf(const std::string &path, const toml::node &node, Visit visit,
    void *arg)
{
	struct toml_value value = {};
	std::vector<std::string> texts;
	std::vector<const char *> pointers;

	value.key = path.c_str();
	value.line = node.source().begin.line;
	value.type = TOML_OTHER;
	if (const auto *s = node.as_string()) {
		value.type = TOML_STRING;
		value.string = s->get().c_str();
	} else if (const auto *i = node.as_integer()) {
		value.type = TOML_INTEGER;
		value.integer = i->get();
	} else if (const auto *b = node.as_boolean()) {
		value.type = TOML_BOOLEAN;
		value.boolean = b->get();
	} else if (const auto *a = node.as_array()) {
		fill_strings(*a, texts, value);
		for (const auto &text : texts)
			pointers.push_back(text.c_str());
		value.strings = pointers.data();
		value.nstrings = pointers.size();
	}
	return visit(arg, &value);
}

static bool
visit_table(const std::string &prefix, const toml::table &table, Visit visit,
    void *arg)
{
	for (const auto &[key, node] : table) {
		std::string path = prefix + std::string(key.str());
		bool more;
		if (const auto *sub = node.as_table())
			more = visit_table(path + ".", *sub, visit, arg);
		else
			more = visit_leaf(path, node, visit, arg);
		if (!more)
			return false;
	}
	return true;
}

bool
toml_visit(const char *text, Visit visit, void *arg, char *error,
    size_t error_size, unsigned *error_line)
{
	try {
		toml::table table = toml::parse(std::string_view(text));
		visit_table("", table, visit, arg);
		return true;
	} catch (const toml::parse_error &e) {
		std::snprintf(error, error_size, "%s",
		    std::string(e.description()).c_str());
		*error_line = e.source().begin.line;
	} catch (const std::exception &e) {
		std::snprintf(error, error_size, "%s", e.what());
		*error_line = 0;
	}
	return false;
}
