import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;
import java.util.regex.*;

/**
 * What the review's scripts share: it starts the programs with the commands of deploy/system.toml and settings made from
 * the templates there, and has small stand-ins for the platform's list, engines and clients. Everything is on loopback.
 */
final class Lab2 implements AutoCloseable {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String HOST = "ficu95.example";
    final Path folder;
    final Path root = Paths.get("").toAbsolutePath();
    final int port = freeBase();
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    final List<Engine> engines = new CopyOnWriteArrayList<>();
    final ServerSocket platform;
    final PrintStream record;
    final long begun = System.nanoTime();
    volatile boolean closed;
    volatile String extraInstances = "";

    Lab2(String caseFolder) throws IOException {
        folder = Files.createTempDirectory("review-lab");
        record = new PrintStream(new FileOutputStream(caseFolder + "/record.txt"), true, "UTF-8");
        platform = new ServerSocket();
        platform.bind(new InetSocketAddress("127.0.0.1", 0));
        daemon(this::servePlatform);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    double now() { return (System.nanoTime() - begun) / 1e9; }

    void log(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values);
        synchronized (record) { record.println(line); }
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long milliseconds) {
        try { Thread.sleep(milliseconds); } catch (InterruptedException e) { throw new RuntimeException(e); }
    }

    static boolean trouble() { return !"0".equals(System.getenv("TROUBLE")); }

    /** A base port from which ten are free on all addresses. */
    private static int freeBase() {
        Random random = new Random();
        search:
        for (int tries = 0; tries < 200; tries++) {
            int base = 20000 + random.nextInt(10000);
            for (int port = base; port < base + 10; port++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress("0.0.0.0", port));
                } catch (IOException e) { continue search; }
            }
            return base;
        }
        throw new IllegalStateException("no free ports");
    }

    // ---- the platform's list ----

    private void servePlatform() {
        while (!closed) {
            try {
                Socket socket = platform.accept();
                daemon(() -> answerPlatform(socket));
            } catch (IOException e) { return; }
        }
    }

    private void answerPlatform(Socket socket) {
        try (socket) {
            Http in = new Http(socket);
            for (Http.Message call; (call = in.readRequest()) != null; ) {
                StringBuilder list = new StringBuilder();
                for (Engine engine : engines) {
                    if (engine.listed) list.append(list.length() == 0 ? "" : ",").append(engine.listing());
                }
                list.append(extraInstances);
                in.answer(200, "Content-Type: application/json\r\n", "{\"instances\":[" + list + "],\"next\":null}");
            }
        } catch (IOException ignored) {
        }
    }

    // ---- the system's processes ----

    private String command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!matcher.find()) throw new IOException("no command for " + role);
        return matcher.group(1);
    }

    private void start(String name, String role, String settings, boolean append) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role).split(" "));
        builder.directory(root.toFile());
        builder.environment().clear();
        for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (System.getenv(kept) != null) builder.environment().put(kept, System.getenv(kept));
        }
        builder.environment().put("HAWTHORNCRANK_BOOT", file.toString());
        builder.redirectErrorStream(true);
        File output = folder.resolve(name + ".log").toFile();
        builder.redirectOutput(append ? ProcessBuilder.Redirect.appendTo(output) : ProcessBuilder.Redirect.to(output));
        processes.put(name, builder.start());
        log("started %s", name);
    }

    private String seeds(int count) {
        StringJoiner seeds = new StringJoiner(",");
        for (int i = 1; i <= Math.min(3, count); i++) seeds.add("\"127.0.1." + i + ":" + (port + 1) + "\"");
        return seeds.toString();
    }

    /** Extra settings of the control replicas, as lines of TOML. */
    String controlExtra = "";
    int controls = 1;
    int toleratedLosses = 0;

    void startControl(int number, boolean bootstrap) throws IOException {
        String ip = "127.0.1." + number;
        Path data = folder.resolve("data-" + number);
        Files.createDirectories(data);
        start("core-" + number, "control", String.join("\n",
            "name = \"core-" + number + "\"", "availability_zone = \"z" + number + "\"", "region = \"r" + number + "\"",
            "data_folder = \"" + data + "\"", "link_address = \"" + ip + ":" + port + "\"",
            "http_address = \"" + ip + ":" + (port + 3) + "\"", "operator_address = \"" + ip + ":" + (port + 1) + "\"",
            "platform_address = \"127.0.0.1:" + platform.getLocalPort() + "\"", "fleet_key = \"hawthorncrank\"",
            "seeds = [" + seeds(controls) + "]", "bootstrap = " + bootstrap, "tolerated_losses = " + toleratedLosses,
            "heartbeat = \"200 ms\"", "election_timeout = \"700 ms\"", controlExtra, ""), !bootstrap);
    }

    static String front(int number) { return "127.0.2." + number; }

    void startEntry(int number) throws IOException { startEntry(number, false); }

    void startEntry(int number, boolean again) throws IOException {
        String ip = front(number);
        StringBuilder zones = new StringBuilder();
        for (int i = 1; i <= 3; i++) zones.append("[[zones]]\nname = \"z" + i + "\"\nregion = \"r" + i + "\"\n");
        start("edge-" + number, "entry", String.join("\n",
            "name = \"edge-" + number + "\"", "availability_zone = \"z1\"", "region = \"r1\"",
            "http_address = \"" + ip + ":" + (port + 4) + "\"", "operations_address = \"" + ip + ":" + (port + 5) + "\"",
            "metrics_address = \"" + ip + ":" + (port + 6) + "\"", "link_address = \"" + ip + ":" + port + "\"",
            "relay_address = \"" + ip + ":" + (port + 7) + "\"", "fleet_key = \"hawthorncrank\"",
            "control = [" + seeds(controls) + "]", "control_port = " + port,
            "platform_address = \"127.0.0.1:" + platform.getLocalPort() + "\"", "drain_time = \"3 s\"",
            "stop_time = \"8 s\"", "heartbeat = \"400 ms\"", "contact_time = \"4000 ms\"", "key_revocation = \"5000 ms\"",
            zones.toString()), again);
    }

    void signal(String name, String signal) throws IOException {
        Process process = processes.get(name);
        log("%s of %s", signal, name);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) { throw new IOException(e); }
    }

    boolean ready(int entry) {
        try (Socket socket = connect(front(entry), port + 5)) {
            socket.setSoTimeout(1000);
            Http http = new Http(socket);
            http.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            return http.readAnswer("GET").status == 200;
        } catch (IOException e) { return false; }
    }

    void awaitReady(int entry, long milliseconds) throws IOException {
        for (long end = System.nanoTime() + milliseconds * 1_000_000; System.nanoTime() < end; sleep(100)) {
            if (ready(entry)) { log("edge-%d is ready", entry); return; }
        }
        throw new IOException("edge-" + entry + " is not ready");
    }

    static Socket connect(String ip, int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1000);
        return socket;
    }

    Socket connectFront(int entry) throws IOException { return connect(front(entry), port + 4); }

    /** Sends a configuration until it is acknowledged. */
    void configure(String document, long milliseconds) throws IOException {
        for (long end = System.nanoTime() + milliseconds * 1_000_000; System.nanoTime() < end; sleep(200)) {
            for (int i = 1; i <= controls; i++) if (replace(i, document) == 200) return;
        }
        throw new IOException("no acknowledgement of the configuration");
    }

    int replace(int control, String document) {
        try (Socket socket = connect("127.0.1." + control, port + 1)) {
            socket.setSoTimeout(3000);
            Http http = new Http(socket);
            byte[] body = document.getBytes(StandardCharsets.UTF_8);
            http.send("POST /-/config/replace HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length + "\r\n\r\n", body);
            int status = http.readAnswer("POST").status;
            log("core-%d answers the configuration with %d", control, status);
            return status;
        } catch (IOException e) { return 0; }
    }

    static String route(String name, String prefix, String type, long timeout, String service, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"route_type\":\""
            + type + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":800,\"priority\":1,\"service\":\"" + service
            + "\",\"max_attempts\":2,\"allow_anonymous\":false,\"session_affinity\":" + type.equals("streaming")
            + ",\"resumable\":" + resumable + ",\"gap_target_ms\":300}";
    }

    static String document(long version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + "{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":443010,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    @Override public void close() {
        if (closed) return;
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(p -> { try { p.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException ignored) { } });
        try { platform.close(); } catch (IOException ignored) { }
        engines.forEach(Engine::close);
        if (System.getenv("KEEP_LOGS") != null) { System.err.println("logs in " + folder); return; }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException ignored) { }
    }

    /** Ends the script with 1 if the rule was broken and 0 if it held. */
    void finish(boolean broken, String verdict) {
        log("%s: %s", broken ? "BROKEN" : "HELD", verdict);
        System.out.println((broken ? "broken: " : "held: ") + verdict);
        close();
        System.exit(broken ? 1 : 0);
    }

    /** Runs a case; anything that keeps it from running ends the script with 2. */
    static void run(String caseFolder, Case test) {
        try (Lab2 lab = new Lab2(caseFolder)) {
            test.run(lab);
            System.out.println("the case ended without a verdict");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(2);
    }

    interface Case { void run(Lab2 lab) throws Exception; }

    // ---- engines ----

    /** What an engine does with one request after it has checked the identity. Returns false to close the connection. */
    interface Handler { boolean handle(Engine engine, Http http, Http.Message request) throws IOException; }

    final class Engine {
        final String id, service;
        final ServerSocket server;
        final Handler handler;
        volatile boolean listed = true;
        volatile String state = "ready";
        volatile int slots = 64;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Engine(String id, String service, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.handler = handler;
            server = new ServerSocket();
            server.bind(new InetSocketAddress("127.0.3.1", 0), 200);
            engines.add(this);
            daemon(this::accept);
        }

        String address() { return "127.0.3.1:" + server.getLocalPort(); }

        String listing() {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"z1\",\"version\":\"v1\","
                + "\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"id\":\"" + id + "\"}";
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) { return; }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                Http http = new Http(socket);
                for (Http.Message request; (request = http.readHead()) != null; ) {
                    String expected = request.header("Expect-Instance");
                    String attempt = request.header("Attempt-Id");
                    if (expected != null && !expected.equals(id)) {
                        http.readBody(request);
                        http.answer(421, "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n", "");
                        continue;
                    }
                    if (!handler.handle(this, http, request)) return;
                }
            } catch (IOException ignored) {
            } finally { sockets.remove(socket); }
        }

        void close() { try { server.close(); } catch (IOException ignored) { } }
    }

    static String signature(Http.Message request, String id) {
        return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nInstance-Signature: 3e1b." + id + ".5a2.600.0."
            + request.header("Attempt-Id") + "\r\n";
    }
}

/** One end of an HTTP/1.1 connection. */
final class Http {
    static final class Message {
        String first;
        int status;
        boolean complete;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() { return first.split(" ")[0]; }

        String target() { return first.split(" ")[1]; }
    }

    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Http(Socket socket) throws IOException {
        this.socket = socket;
        in = new BufferedInputStream(socket.getInputStream(), 65536);
        out = socket.getOutputStream();
    }

    void send(String head, byte[]... parts) throws IOException {
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (byte[] part : parts) out.write(part);
        out.flush();
    }

    void answer(int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        send("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) >= 0; ) {
            if (c == '\n') return line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.substring(0, line.length() - 1) : line.toString();
            line.append((char) c);
        }
        return line.length() == 0 ? null : line.toString();
    }

    Message readHead() throws IOException {
        Message message = new Message();
        message.first = line();
        if (message.first == null) return null;
        for (String line; (line = line()) != null && !line.isEmpty(); ) {
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return message;
    }

    Message readRequest() throws IOException {
        Message message = readHead();
        return message == null ? null : readBody(message);
    }

    Message readBody(Message message) throws IOException {
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line();
                if (size == null) throw new EOFException();
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (count == 0) { while (!"".equals(line())) { } break; }
                body.write(in.readNBytes(count));
                line();
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException();
        }
        message.complete = true;
        return message;
    }

    /** Reads one answer. [Message.complete] is false if the connection ended before it did. */
    Message readAnswer(String method) throws IOException {
        while (true) {
            Message message = readHead();
            if (message == null) throw new EOFException("closed without an answer");
            message.status = Integer.parseInt(message.first.split(" ")[1]);
            if (message.status / 100 == 1) continue;
            if (method.equals("HEAD") || message.status == 204 || message.status == 304) { message.complete = true; return message; }
            boolean framed = message.header("Content-Length") != null || message.header("Transfer-Encoding") != null;
            try {
                if (framed) readBody(message);
                else { message.body = in.readAllBytes(); message.complete = true; }
            } catch (IOException e) { message.complete = false; }
            return message;
        }
    }
}
