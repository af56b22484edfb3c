"""Counts bytes, processor time and memory of real idle nodes.

Usage: measure_processes.py NODES...; prints a row for each fleet size."""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

import demo_helper

SECONDS = 20
LOCAL = "127.0.0.1:{}".format


def start(command, errors):
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=errors,
                            text=True)


def get(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
        return answer.read().decode()


def sent_bytes(control):
    return sum(float(line.split()[-1])
               for line in get(control, "/metrics").splitlines()
               if line.startswith("baobab_peer_bytes_out"))


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file
                    if line.startswith("VmRSS"))


def write_settings(directory, names, log_port, hosts_port):
    ports = demo_helper.free_ports(3 * len(names))
    nodes = {name: [f"dc{n % 3}"] + [LOCAL(it) for it in ports[3 * n:3 * n + 3]]
             for n, name in enumerate(names)}
    for name, (centre, caller, control, peer) in nodes.items():
        peers = "".join(f"{other} = {it[0]} {it[3]}\n"
                        for other, it in nodes.items() if other != name)
        with open(f"{directory}/{name}.ini", "w", encoding="utf-8") as file:
            file.write(f"[node]\nid = {name}\ndata_centre = {centre}\n"
                       f"[listen]\ncaller = {caller}\ncontrol = {control}\n"
                       f"peer = {peer}\n[platform]\n"
                       f"log_service = {LOCAL(log_port)}\n"
                       f"host_list = {LOCAL(hosts_port)}\n[peers]\n{peers}"
                       "[observe]\nlog_level = warning\n")
    return nodes


def wait_ready(nodes):
    deadline = time.time() + 60
    for centre, caller, control, peer in nodes.values():
        while True:
            try:
                if json.loads(get(control, "/status")).get("ready"):
                    break
            except OSError:
                pass
            if time.time() > deadline:
                raise TimeoutError(f"{control} is not ready after 60 s")
            time.sleep(0.2)


def measure(count, directory):
    names = [f"n{n}" for n in range(1, count + 1)]
    processes = []
    with open(f"{directory}/errors", "w", encoding="utf-8") as errors:
        try:
            platform = []
            for name in ("log", "hosts"):
                it = start(["build/standins", name, "--port", "0"], errors)
                processes.append(it)
                platform.append(int(it.stdout.readline().split()[1]))
            nodes = write_settings(directory, names, *platform)
            hosts = [{"id": name, "kind": "entry", "state": "live",
                      "rack": "r0", "address": "127.0.0.1",
                      "data_centre": it[0]} for name, it in nodes.items()]
            demo_helper.request(LOCAL(platform[1]), "PUT", "/hosts",
                                json.dumps({"hosts": hosts}))
            pids = []
            for name in names:
                it = start(["build/baobabfront", "node", "--settings",
                            f"{directory}/{name}.ini"], errors)
                processes.append(it)
                pids.append(it.pid)
            wait_ready(nodes)
            time.sleep(10)
            controls = [it[2] for it in nodes.values()]
            before = [(sent_bytes(c), processor_seconds(p))
                      for c, p in zip(controls, pids)]
            time.sleep(SECONDS)
            after = [(sent_bytes(c), processor_seconds(p))
                     for c, p in zip(controls, pids)]
            sent = [(b[0] - a[0]) / SECONDS for a, b in zip(before, after)]
            core = [100 * (b[1] - a[1]) / SECONDS
                    for a, b in zip(before, after)]
            memory = [resident_kb(it) / 1024 for it in pids]
            print(f"{count:6} {sum(sent) / count:10.0f} {max(sent):10.0f} "
                  f"{sum(core) / count:8.2f} {max(core):8.2f} "
                  f"{max(memory):8.1f}", flush=True)
        finally:
            for it in processes:
                it.terminate()
            for it in processes:
                it.wait(20)


def main():
    print(f"processes: idle nodes in 3 data centres, {SECONDS} s, bytes sent "
          "to peers counted at the socket")
    print(" nodes    B/s out   B/s most   core %   most %   MB RSS")
    for count in sys.argv[1:]:
        with tempfile.TemporaryDirectory() as directory:
            measure(int(count), directory)


if __name__ == "__main__":
    main()
