#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <ulfius.h>

#include "counters.h"
#include "kernel.h"
#include "metrics.h"
#include "options.h"

#define HTTP_OK 200
/* Seconds after which an idle connection is closed. */
#define IDLE_LIMIT_S 10

struct me {
	struct _u_instance server;
	struct sockaddr_in address;
	struct ct *counters;
};

static int
get_metrics(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	struct me *m = arg;
	char *text;

	(void)request;
	text = ct_render(m->counters);
	ulfius_set_string_body_response(response, HTTP_OK, text);
	ulfius_add_header_to_response(
	    response, "Content-Type", "text/plain; version=0.0.4");
	g_free(text);
	return (U_CALLBACK_COMPLETE);
}

static int64_t
gauge(const struct me *m, const char *name)
{
	return (ct_value(ct_get(m->counters, CT_GAUGE, name, "", "")));
}

static int
get_healthz(
    const struct _u_request *request, struct _u_response *response, void *arg)
{
	const char *status = "ok";
	struct me *m = arg;
	json_t *body;

	(void)request;
	if (gauge(m, "pd_agent_draining") != 0)
		status = "draining";
	body = json_pack("{s:s, s:I, s:I}", "status", status, "sessions",
	    (json_int_t)gauge(m, "pd_agent_sessions"), "running",
	    (json_int_t)gauge(m, "pd_agent_running"));
	ulfius_set_json_body_response(response, HTTP_OK, body);
	json_decref(body);
	return (U_CALLBACK_COMPLETE);
}

struct me *
me_new(struct kn *kernel)
{
	const struct op_settings *settings = kn_find(kernel, "settings");
	struct me *m;

	m = g_new0(struct me, 1);
	m->counters = kn_find(kernel, "counters");
	op_address(settings->metrics, -1, &m->address);
	if (ulfius_init_instance(&m->server, ntohs(m->address.sin_port),
		&m->address, NULL) != U_OK)
		goto fail;
	m->server.timeout = IDLE_LIMIT_S;
	ulfius_add_endpoint_by_val(
	    &m->server, "GET", NULL, "/metrics", 0, get_metrics, m);
	ulfius_add_endpoint_by_val(
	    &m->server, "GET", NULL, "/healthz", 0, get_healthz, m);
	if (ulfius_start_framework(&m->server) != U_OK)
		goto fail_instance;
	return (m);

fail_instance:
	ulfius_clean_instance(&m->server);
fail:
	g_free(m);
	return (NULL);
}

void
me_free(struct me *m)
{
	if (m == NULL)
		return;
	ulfius_stop_framework(&m->server);
	ulfius_clean_instance(&m->server);
	g_free(m);
}
