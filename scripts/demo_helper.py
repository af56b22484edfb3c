"""Parts of scripts/demo that need JSON or HTTP."""
import http.client
import json
import os
import socket
import sys
import time

SERVICES = ["reserve", "size", "deposit", "itinerary", "manifest"]
MINIONS_PER_SERVICE = 10
NODES = {"n1": "lagos-a", "n2": "lagos-a", "n3": "lagos-b",
         "n4": "lagos-b", "n5": "lagos-c", "n6": "lagos-c"}


def request(address, method, path, body=None, headers=None, timeout=5):
    """Returns status, headers and body of one HTTP request."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read().decode()
    finally:
        connection.close()


def get_json(address, path):
    """Returns the JSON of GET, or {} if there is none."""
    try:
        return json.loads(request(address, "GET", path, timeout=2)[2])
    except (OSError, http.client.HTTPException, ValueError):
        return {}


def free_ports(count):
    """Ports below the range of outgoing connections that nothing uses."""
    ports = []
    port = 20000 + os.getpid() * 41 % 11000
    while len(ports) < count:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                pass
        port += 1
    return ports


def sheet_rows(path, sheet):
    """Rows of a sheet of a table as dictionaries."""
    rows, header, inside = [], None, False
    for line in open(path, encoding="utf-8"):
        line = line.strip()
        if line.startswith("["):
            inside, header = line == f"[{sheet}]", None
        elif inside and line and not line.startswith("#"):
            cells = line.split(",")
            if header is None:
                header = cells
            else:
                rows.append(dict(zip(header, cells)))
    return rows


def addresses(directory):
    with open(f"{directory}/addresses.json", encoding="utf-8") as file:
        return json.load(file)


def setup(directory, table, log_port, hosts_port, *minion_ports):
    """Writes the nodes' settings and addresses.json, and sets the host list.
    Minions are listed in the order of SERVICES."""
    local = "127.0.0.1:{}".format
    ports = iter(free_ports(3 * len(NODES)))
    nodes = {name: {"data_centre": centre, "caller": local(next(ports)),
                    "control": local(next(ports)), "peer": local(next(ports)),
                    "timeline": f"{directory}/{name}.timeline"}
             for name, centre in NODES.items()}
    minions = {}
    places = sheet_rows(table, "hosts")
    for n, port in enumerate(minion_ports):
        service = SERVICES[n // MINIONS_PER_SERVICE]
        minions[f"{service}-{n % MINIONS_PER_SERVICE}"] = {
            "service": service, "host": places[n]["host"],
            "rack": places[n]["rack"],
            "data_centre": places[n]["data_centre"], "address": local(port)}
    all_addresses = {"log_service": local(log_port),
                     "host_list": local(hosts_port),
                     "nodes": nodes, "minions": minions}
    with open(f"{directory}/addresses.json", "w", encoding="utf-8") as file:
        json.dump(all_addresses, file, indent=2)
    for name, node in nodes.items():
        with open(f"{directory}/{name}.ini", "w", encoding="utf-8") as file:
            file.write(f"""[node]
id = {name}
data_centre = {node['data_centre']}
[listen]
caller = {node['caller']}
control = {node['control']}
peer = {node['peer']}
[platform]
log_service = {local(log_port)}
host_list = {local(hosts_port)}
[peers]
""")
            for other, it in nodes.items():
                if other != name:
                    file.write(f"{other} = {it['data_centre']} {it['peer']}\n")
            file.write(f"[limits]\nrequest_timeout_ms = 5000\n"
                       f"[observe]\ntimeline_path = {node['timeline']}\n")
    hosts = [{"id": name, "kind": "minion", "state": "live", **it}
             for name, it in minions.items()]
    hosts += [{"id": name, "kind": "entry", "state": "live", "rack": "r00",
               "address": "127.0.0.1", "data_centre": it["data_centre"]}
              for name, it in nodes.items()]
    status, _, _ = request(local(hosts_port), "PUT", "/hosts",
                           json.dumps({"hosts": hosts}))
    return 0 if status == 200 else 1


def address(directory, node, port):
    print(addresses(directory)["nodes"][node][port])
    return 0


def wait_status(directory, node, seconds, condition):
    """Waits until a Python expression over the node's status `s` holds, for
    example "s['view'] > 0"."""
    control = addresses(directory)["nodes"][node]["control"]
    end = time.monotonic() + float(seconds)
    while True:
        status = get_json(control, "/status")
        if status and eval(condition, {"s": status}):  # pylint: disable=W0123
            return 0
        if time.monotonic() > end:
            print(f"status of {node}: {json.dumps(status)}", file=sys.stderr)
            return 1
        time.sleep(0.1)


def status_value(directory, node, name):
    """Prints a member of the node's status."""
    control = addresses(directory)["nodes"][node]["control"]
    print(get_json(control, "/status").get(name))
    return 0


def ready(directory, node, seconds):
    """Waits until the load balancer would send callers to the node."""
    caller = addresses(directory)["nodes"][node]["caller"]
    end = time.monotonic() + float(seconds)
    while time.monotonic() < end:
        try:
            if request(caller, "GET", "/healthz", timeout=1)[0] == 200:
                return 0
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.1)
    return 1


def call(directory, node, method, path, test_id, key=""):
    """Sends a request as a caller and prints what it got. Exit status 0 only
    for outcome done with the answer to this request."""
    caller = addresses(directory)["nodes"][node]["caller"]
    headers = {"X-Test-Id": test_id}
    if key:
        headers["Idempotency-Key"] = key
    begin = time.monotonic()
    status, answer, body = request(caller, method, path, "", headers, 10)
    print(f"{method} {path} at {node}: {status} "
          f"outcome={answer.get('Baobab-Outcome')} "
          f"reason={answer.get('Baobab-Reason', '-')} "
          f"{(time.monotonic() - begin) * 1000:.0f} ms {body.strip()}")
    return 0 if (answer.get("Baobab-Outcome") == "done" and
                 json.loads(body).get("test_id") == test_id) else 1


def issue_key(directory, node):
    caller = addresses(directory)["nodes"][node]["caller"]
    print(json.loads(request(caller, "POST", "/keys")[2])["key"])
    return 0


def executions(directory, test_id):
    """Prints how often all minions executed a request."""
    print(sum(get_json(it["address"], "/executions")["executions"]
              .get(test_id, 0)
              for it in addresses(directory)["minions"].values()))
    return 0


def host_executions(directory, host):
    """Prints how many requests the minions of a host executed."""
    print(sum(sum(get_json(it["address"], "/executions")["executions"]
                  .values())
              for it in addresses(directory)["minions"].values()
              if it["host"] == host))
    return 0


def edit_cell(table, sheet, row, column, value):
    """Prints the table with one cell changed."""
    header, inside = None, False
    for line in open(table, encoding="utf-8"):
        text = line.rstrip("\n")
        if text.startswith("["):
            inside, header = text == f"[{sheet}]", None
        elif inside and text and not text.startswith("#"):
            cells = text.split(",")
            if header is None:
                header = cells
            elif cells[0] == row:
                cells[header.index(column)] = value
                text = ",".join(cells)
        print(text)
    return 0


def load_arguments(directory):
    """Prints the targets of the program load, one word a line."""
    all_addresses = addresses(directory)
    for it in all_addresses["nodes"].values():
        print("--node", it["caller"], sep="\n")
    for it in all_addresses["minions"].values():
        print("--minion", it["address"], sep="\n")
    return 0


def check_load(file, queue, least_done, worst_p99_ms):
    """Checks the share of done requests and the 99 % latency of a queue."""
    with open(file, encoding="utf-8") as summary:
        it = json.load(summary)["queues"][queue]
    done = it["outcomes"].get("done", 0) / max(1, it["requests"])
    p99 = it["latency_ms"]["p99"]
    print(f"{queue}: {done:.1%} of {it['requests']} done, "
          f"{it['goodput_per_second']:.0f}/s, p99 {p99:.0f} ms")
    return 0 if done >= float(least_done) and p99 <= float(worst_p99_ms) else 1


if __name__ == "__main__":
    sys.exit({it.__name__: it for it in
              (setup, address, wait_status, status_value, ready, call, issue_key, executions,
               host_executions, edit_cell, load_arguments, check_load)}
             [sys.argv[1]](*sys.argv[2:]))
