import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Starts the programs of the project as separate processes on loopback addresses, with the commands of
 * deploy/system.toml, and provides stand-ins for everything around them: engines, the platform's list of engines, the
 * operator, clients and a network link that can be cut. Each machine has a loopback address of its own, because control
 * replicas and entries find each other at the same port.
 */
final class Lab implements AutoCloseable {
    /** The bounds of the small deployments, in milliseconds. */
    static final int CONTACT = 4_000;
    static final int REVOKE = 5_000;
    static final int CONFIG_APPLY = 2_500;
    static final int GRACE = 8_000;

    private static final int START_LIMIT = 40_000;

    final Path folder;
    final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final String network =
            "127." + ThreadLocalRandom.current().nextInt(20, 250) + "." + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    final int linkPort = freePort();
    final int operatorPort = freePort();
    final int frontPort = freePort();
    final int readyPort = freePort();
    final int metricsPort = freePort();
    final List<Cut> cuts = new ArrayList<>();
    final List<Process> core = new ArrayList<>();
    Platform platform;
    int contactTime = CONTACT;
    private int toleratedLosses = 1;

    Lab(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("hawthorncrank-review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killProcesses));
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    long elapsed() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%9.3f s  %s%n", elapsed() / 1_000.0, text);
    }

    /** The address of machine {@code number}: 1 to 9 control, 11 to 19 the far ends of cuts, 21 to 29 entries, 31 up others. */
    String address(int number) {
        return network + number;
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static void sleep(long milliseconds) throws InterruptedException {
        if (milliseconds > 0) Thread.sleep(milliseconds);
    }

    // Processes of the project

    /** Starts three control replicas, the platform's list, and a cut in front of each replica's link port. */
    void startCore(List<Engine> engines) throws Exception {
        startCore(engines, 3, 1);
    }

    /** Starts {@code machines} control replicas, of which {@code losses} may be lost. The first three are the seeds. */
    void startCore(List<Engine> engines, int machines, int losses) throws Exception {
        toleratedLosses = losses;
        platform = new Platform(this, address(31), engines);
        for (int number = 1; number <= 3; number++) {
            cuts.add(new Cut(this, address(10 + number), linkPort, address(number), linkPort));
        }
        for (int number = 1; number <= machines; number++) core.add(startControl(number, true, 1, 2, 3));
    }

    /** Starts the whole core again for the first time, with empty disks. */
    void startCoreAgain() throws Exception {
        for (int number = 1; number <= core.size(); number++) {
            kill(core.get(number - 1));
            loseDisk(number);
            Files.delete(folder.resolve("core-" + number + ".log"));
        }
        for (int number = 1; number <= core.size(); number++) core.set(number - 1, startControl(number, true, 1, 2, 3));
    }

    /** Starts a control replica whose settings name the machines {@code seeds}. */
    Process startControl(int number, boolean bootstrap, int... seedNumbers) throws IOException {
        Path data = folder.resolve("core-" + number);
        Files.createDirectories(data);
        String seeds = IntStream.of(seedNumbers).mapToObj(seed -> "\"" + address(seed) + ":" + operatorPort + "\"")
                .collect(Collectors.joining(", "));
        String settings = String.join("\n",
                "name = \"core-" + number + "\"",
                "availability_zone = \"zone-" + number + "\"",
                "region = \"region-" + number + "\"",
                "data_folder = \"" + data + "\"",
                "link_address = \"" + address(number) + ":" + linkPort + "\"",
                "http_address = \"" + address(number) + ":" + metricsPort + "\"",
                "operator_address = \"" + address(number) + ":" + operatorPort + "\"",
                "platform_address = \"" + platform.address() + "\"",
                "fleet_key = \"hawthorncrank\"",
                "seeds = [" + seeds + "]",
                "bootstrap = " + bootstrap,
                "tolerated_losses = " + toleratedLosses,
                "heartbeat = \"200 ms\"",
                "election_timeout = \"700 ms\"",
                "");
        return start("control", "core-" + number, settings);
    }

    /** Starts an entry that reaches the control replicas through {@link #cuts}. */
    Process startEntry(int number) throws IOException {
        return startEntry(number, true);
    }

    Process startEntry(int number, boolean throughCuts) throws IOException {
        int first = throughCuts ? 11 : 1;
        String control = "\"" + address(first) + ":" + operatorPort + "\", \"" + address(first + 1) + ":" + operatorPort
                + "\", \"" + address(first + 2) + ":" + operatorPort + "\"";
        String machine = address(20 + number);
        StringBuilder settings = new StringBuilder(String.join("\n",
                "name = \"edge-" + number + "\"",
                "availability_zone = \"zone-1\"",
                "region = \"region-1\"",
                "http_address = \"" + machine + ":" + frontPort + "\"",
                "operations_address = \"" + machine + ":" + readyPort + "\"",
                "metrics_address = \"" + machine + ":" + metricsPort + "\"",
                "link_address = \"" + machine + ":" + linkPort + "\"",
                "fleet_key = \"hawthorncrank\"",
                "control = [" + control + "]",
                "control_port = " + linkPort,
                "platform_address = \"" + platform.address() + "\"",
                "drain_time = \"3 s\"",
                "stop_time = \"" + GRACE / 1_000 + " s\"",
                "heartbeat = \"400 ms\"",
                "contact_time = \"" + contactTime + " ms\"",
                "key_revocation = \"" + REVOKE + " ms\"",
                ""));
        for (int zone = 1; zone <= 3; zone++) {
            settings.append("[[zones]]\nname = \"zone-").append(zone).append("\"\nregion = \"region-").append(zone)
                    .append("\"\n");
        }
        return start("entry", "edge-" + number, settings.toString());
    }

    private Process start(String role, String name, String settings) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        List<String> command = command(role);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HAWTHORNCRANK_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        note("started " + name);
        return process;
    }

    /** The command of a role in deploy/system.toml, split at spaces. */
    private static List<String> command(String role) throws IOException {
        boolean inside = false;
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("[")) inside = line.equals("[roles." + role + "]");
            if (inside && line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no role " + role);
    }

    void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        note("signal " + signal + " to process " + process.pid());
    }

    /** Kills a process as a loss of power does. */
    void kill(Process process) throws Exception {
        signal(process, "KILL");
        process.waitFor();
    }

    /** Deletes the files that a control replica has stored. */
    void loseDisk(int number) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve("core-" + number))) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        note("core-" + number + " lost its disk");
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    // The operator

    /** Sends a configuration to a replica and returns the status, or 0 without an answer. */
    int replace(int replica, String document) {
        return operatorCall(replica, "POST", "/-/config/replace", document).status;
    }

    Answer readConfiguration(int replica) {
        return operatorCall(replica, "GET", "/-/config/read", "");
    }

    private Answer operatorCall(int replica, String method, String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: operator\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length + "\r\nConnection: close\r\n\r\n";
        try (Client client = new Client(this, address(replica), operatorPort)) {
            client.send(head);
            client.send(bytes);
            return client.read(2_000);
        } catch (IOException failure) {
            return new Answer(0, Map.of(), new byte[0], failure.toString(), false);
        }
    }

    /** Sends a configuration to the replicas in turn until one acknowledges it. */
    void configure(String document) throws Exception {
        long end = elapsed() + START_LIMIT;
        for (int turn = 0; elapsed() < end; turn++) {
            int status = replace(1 + turn % 3, document);
            if (status == 200) {
                note("configuration acknowledged by core-" + (1 + turn % 3));
                return;
            }
            if (status == 400) throw new IllegalStateException("the configuration was refused: " + document);
            sleep(200);
        }
        throw new IllegalStateException("no replica acknowledged the configuration");
    }

    void awaitReady(int entry) throws Exception {
        long end = elapsed() + START_LIMIT;
        while (elapsed() < end) {
            if (ready(entry)) {
                note("edge-" + entry + " is ready");
                return;
            }
            sleep(100);
        }
        throw new IllegalStateException("edge-" + entry + " did not become ready");
    }

    boolean ready(int entry) {
        try (Client client = new Client(this, address(20 + entry), readyPort)) {
            client.send("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            return client.read(1_000).status == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    Client connect(int entry) throws IOException {
        return new Client(this, address(20 + entry), frontPort);
    }

    @Override
    public void close() throws Exception {
        killProcesses();
        for (AutoCloseable item : opened) item.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        record.close();
    }

    private void killProcesses() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
        }
    }

    void closeLater(AutoCloseable item) {
        opened.add(item);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Case {
        /** Returns whether the rule held. */
        boolean run(Lab lab) throws Exception;
    }

    /** Runs a case and ends this process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] arguments, Case attempt) throws Exception {
        int status = 2;
        Lab lab = new Lab(Path.of(arguments[0]));
        try (lab) {
            lab.note(trouble() ? "with the disruption" : "without the disruption");
            boolean held = attempt.run(lab);
            lab.note(held ? "the rule held" : "THE RULE WAS BROKEN");
            System.out.println(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }
}

/** A request head and body, as an engine read them. */
final class Arrival {
    final String line;
    final Map<String, String> headers;
    final byte[] body;

    Arrival(String line, Map<String, String> headers, byte[] body) {
        this.line = line;
        this.headers = headers;
        this.body = body;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
}

final class Answer {
    final int status;
    final Map<String, String> headers;
    final byte[] body;
    final String problem;
    final boolean complete;

    Answer(int status, Map<String, String> headers, byte[] body, String problem, boolean complete) {
        this.status = status;
        this.headers = headers;
        this.body = body;
        this.problem = problem;
        this.complete = complete;
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
        return status + " signature=" + headers.get("instance-signature") + " bytes=" + body.length + " complete=" + complete
                + (problem.isEmpty() ? "" : " " + problem) + (status >= 400 ? " " + text() : "");
    }
}

/** One client connection. */
final class Client implements AutoCloseable {
    final Socket socket;
    private final InputStream input;
    private final OutputStream output;

    Client(Lab lab, String host, int port) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        input = new java.io.BufferedInputStream(socket.getInputStream());
        output = socket.getOutputStream();
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
        output.write(bytes);
        output.flush();
    }

    /** Reads one answer; without one in time, or if the connection ends, the status is 0 or the answer is not complete. */
    Answer read(int milliseconds) {
        Map<String, String> headers = new LinkedHashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            socket.setSoTimeout(milliseconds);
            status = Integer.parseInt(Wire.line(input).split(" ")[1]);
            headers = Wire.headers(input);
            Wire.body(input, headers, body, true);
            return new Answer(status, headers, body.toByteArray(), "", true);
        } catch (IOException | RuntimeException failure) {
            return new Answer(status, headers, body.toByteArray(), failure.toString(), false);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

/** Reads HTTP/1.1 messages. */
final class Wire {
    private Wire() {}

    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) throw new EOFException("the connection ended");
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            headers.merge(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim(),
                    (one, other) -> one + ", " + other);
        }
        return headers;
    }

    static void body(InputStream input, Map<String, String> headers, OutputStream body, boolean untilEnd) throws IOException {
        String length = headers.get("content-length");
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunk(input); size > 0; size = chunk(input)) {
                copy(input, body, size);
                line(input);
            }
            line(input);
        } else if (length != null) {
            copy(input, body, Integer.parseInt(length));
        } else if (untilEnd) {
            for (int next = input.read(); next >= 0; next = input.read()) body.write(next);
        }
    }

    private static int chunk(InputStream input) throws IOException {
        return Integer.parseInt(line(input).split(";")[0].trim(), 16);
    }

    private static void copy(InputStream input, OutputStream output, int size) throws IOException {
        byte[] buffer = new byte[Math.min(size, 65_536)];
        for (int left = size; left > 0; ) {
            int count = input.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new EOFException("the connection ended inside the body");
            output.write(buffer, 0, count);
            left -= count;
        }
    }
}

/** An engine or application server. It runs each request once and answers it with its signature. */
class Engine implements AutoCloseable {
    final Lab lab;
    final String id;
    final String service;
    final String host;
    final int port;
    final int slots;
    volatile String state = "ready";
    final List<Arrival> ran = new CopyOnWriteArrayList<>();
    private final ServerSocket server;

    interface Behaviour {
        /** Answers a request. The connection is closed if this throws. */
        void answer(Arrival arrival, InputStream input, OutputStream output, Socket socket) throws Exception;
    }

    volatile Behaviour behaviour = (arrival, input, output, socket) -> plain(arrival, output, "done");

    Engine(Lab lab, String id, String service, String host, int slots) throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        this.host = host;
        this.slots = slots;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, 0), 200);
        port = server.getLocalPort();
        lab.closeLater(this);
        Lab.daemon(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Lab.daemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                String line = Wire.line(input);
                Map<String, String> headers = Wire.headers(input);
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                Wire.body(input, headers, body, false);
                Arrival arrival = new Arrival(line, headers, body.toByteArray());
                if (line.startsWith("GET /healthz") || line.startsWith("GET /-/")) {
                    output.write(("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                    output.flush();
                    continue;
                }
                if (!arrival.header("expect-instance").isEmpty() && !arrival.header("expect-instance").equals(id)) {
                    lab.note(id + " rejects " + arrival.header("attempt-id") + " for another instance");
                    String head = "HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + arrival.header("attempt-id")
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                    output.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    output.flush();
                    continue;
                }
                ran.add(arrival);
                lab.note(id + " runs " + arrival.header("attempt-id") + ": " + line + " tenant=" + arrival.header("tenant")
                        + " deadline=" + arrival.header("deadline-ms") + " body=" + body.size());
                behaviour.answer(arrival, input, output, socket);
            }
        } catch (Exception ended) {
            // The peer closed the connection, or the behaviour ended it.
        }
    }

    static String head(Arrival arrival, String id, String rest) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + arrival.header("attempt-id") + "\r\nInstance-Signature: " + id + ".sig\r\n"
                + rest + "\r\n";
    }

    void plain(Arrival arrival, OutputStream output, String body) throws IOException {
        String rest = "Content-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n";
        output.write((head(arrival, id, rest) + body).getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    long runs(String attempt) {
        return ran.stream().filter(arrival -> arrival.header("attempt-id").equals(attempt)).count();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

/** The platform's list of engines. */
final class Platform implements AutoCloseable {
    private final ServerSocket server = new ServerSocket();
    private final List<Engine> engines;

    Platform(Lab lab, String host, List<Engine> engines) throws IOException {
        this.engines = engines;
        server.bind(new InetSocketAddress(host, 0), 200);
        lab.closeLater(this);
        Lab.daemon(this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Lab.daemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new java.io.BufferedInputStream(socket.getInputStream());
            while (true) {
                Wire.line(input);
                Wire.headers(input);
                byte[] body = list().getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
                OutputStream output = socket.getOutputStream();
                output.write(head.getBytes(StandardCharsets.ISO_8859_1));
                output.write(body);
                output.flush();
            }
        } catch (IOException ended) {
            // The caller closed the connection.
        }
    }

    private String list() {
        List<String> entries = new ArrayList<>();
        for (Engine engine : engines) {
            if (engine.state.equals("gone")) continue;
            entries.add(String.format(
                    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-1\",\"version\":\"v1\",\"slots\":%d,"
                            + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"id\":\"%s\"}",
                    engine.service, engine.host, engine.port, engine.slots, engine.state, engine.id));
        }
        return "{\"instances\":[" + String.join(",", entries) + "],\"next\":null}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

/** A network link that forwards connections, and while it is cut, silently holds every byte and connection back. */
final class Cut implements AutoCloseable {
    private final ServerSocket server = new ServerSocket();
    private final String host;
    private final int port;
    private boolean cut;

    Cut(Lab lab, String listenHost, int listenPort, String host, int port) throws IOException {
        this.host = host;
        this.port = port;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(listenHost, listenPort), 200);
        lab.closeLater(this);
        Lab.daemon(this::accept);
    }

    synchronized void set(boolean value) {
        cut = value;
        notifyAll();
    }

    private synchronized void awaitOpen() throws InterruptedException {
        while (cut) wait();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = server.accept();
                Lab.daemon(() -> open(near));
            }
        } catch (IOException closed) {
            // The server was closed.
        }
    }

    private void open(Socket near) {
        try {
            awaitOpen();
            Socket far = new Socket();
            far.setTcpNoDelay(true);
            near.setTcpNoDelay(true);
            far.connect(new InetSocketAddress(host, port), 1_000);
            Lab.daemon(() -> copy(near, far));
            Lab.daemon(() -> copy(far, near));
        } catch (IOException | InterruptedException failure) {
            close(near);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            while (true) {
                int count = from.getInputStream().read(buffer);
                awaitOpen();
                if (count < 0) break;
                to.getOutputStream().write(buffer, 0, count);
                to.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException ended) {
            // Both sides are closed below.
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException failure) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
