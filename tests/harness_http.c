#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <ulfius.h>

#include <cmocka.h>

#include "harness.h"

#define HTTP_LIMIT_S 60UL

int
hn_http(const char *verb, unsigned port, const char *path, const char *body,
    const char *token, json_t **answer)
{
	struct _u_response response;
	struct _u_request request;
	char *url, *bearer;
	int status = 0;

	ulfius_init_request(&request);
	ulfius_init_response(&response);
	url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, verb,
	    U_OPT_HTTP_URL, url, U_OPT_TIMEOUT, HTTP_LIMIT_S, U_OPT_NONE);
	g_free(url);
	if (body != NULL) {
		ulfius_set_string_body_request(&request, body);
		u_map_put(
		    request.map_header, "Content-Type", "application/json");
	}
	if (token != NULL) {
		bearer = g_strconcat("Bearer ", token, NULL);
		u_map_put(request.map_header, "Authorization", bearer);
		g_free(bearer);
	}
	if (ulfius_send_http_request(&request, &response) == U_OK)
		status = (int)response.status;
	if (answer != NULL)
		*answer = json_loadb(response.binary_body,
		    response.binary_body_length, JSON_DECODE_ANY, NULL);
	ulfius_clean_request(&request);
	ulfius_clean_response(&response);
	return (status);
}

void
hn_control(unsigned port, const char *query)
{
	char *path = g_strconcat("/control?", query, NULL);
	int status = hn_http("PUT", port, path, NULL, NULL, NULL);

	g_free(path);
	if (status != 200)
		fail_msg("control of port %u: HTTP status %d", port, status);
}
