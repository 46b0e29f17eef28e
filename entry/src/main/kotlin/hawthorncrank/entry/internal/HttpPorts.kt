package hawthorncrank.entry.internal

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import hawthorncrank.common.SettingsFailure
import org.reactivestreams.Publisher
import reactor.netty.ChannelBindException
import reactor.netty.DisposableServer
import reactor.netty.NettyPipeline
import reactor.netty.http.Http11SslContextSpec
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.io.File

internal typealias HttpHandler = (HttpServerRequest, HttpServerResponse) -> Publisher<Void>

/** The certificate and key files of an HTTPS port. */
internal class TlsFiles(
    val certificate: String,
    val key: String,
)

/**
 * Opens an HTTP port with the common limits. [key] is the setting that error messages name. [connections], if given,
 * tracks the connections of the port.
 */
internal fun openPort(
    file: String,
    key: String,
    address: String,
    limits: PortLimits,
    tls: TlsFiles?,
    connections: CallerConnections? = null,
    handler: HttpHandler,
): Result<DisposableServer, SettingsFailure> {
    val plain =
        HttpServer
            .create()
            .host(address.substringBeforeLast(':'))
            .port(address.substringAfterLast(':').toInt())
            .httpRequestDecoder { it.maxHeaderSize(HEADER_LIMIT_BYTES).maxInitialLineLength(REQUEST_LINE_LIMIT_BYTES) }
            .doOnChannelInit { _, channel, _ ->
                val headHandler = RequestHeadHandler(limits.headMilliseconds, limits.idleMilliseconds)
                channel.pipeline().addAfter(NettyPipeline.HttpCodec, "connectionGuard", headHandler)
                connections?.let { channel.pipeline().addAfter(NettyPipeline.HttpCodec, "connection", it.handler()) }
            }.handle(handler)
    return try {
        Ok(withTls(plain, tls).bindNow())
    } catch (_: ChannelBindException) {
        Err(SettingsFailure.PortInUse(file, key, address))
    } catch (failure: IllegalArgumentException) {
        val remedy = "set the paths of readable PEM files with a certificate and its PKCS 8 key"
        Err(SettingsFailure.InvalidValue(file, "tls_certificate", failure.message.orEmpty(), remedy))
    }
}

/** How long a connection may take to send a request head, and how long it may stay idle between requests. */
internal class PortLimits(
    val headMilliseconds: Long = 30_000,
    val idleMilliseconds: Long = 75_000,
)

private fun withTls(
    server: HttpServer,
    tls: TlsFiles?,
): HttpServer {
    tls ?: return server
    val context = Http11SslContextSpec.forServer(File(tls.certificate), File(tls.key))
    context.sslContext()
    return server.secure { it.sslContext(context) }
}

private const val HEADER_LIMIT_BYTES = 16 * 1024
private const val REQUEST_LINE_LIMIT_BYTES = 8 * 1024
